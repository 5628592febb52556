"""Define what the store answers to one call."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAnswer:
    """
    Hold one answer.

    Attributes
    ----------
    body : bytes or None
        None where there is nothing to return, or too much.
    timeline : int
        How often the store had been restored from a copy by then.
    """

    body: bytes | None
    timeline: int
