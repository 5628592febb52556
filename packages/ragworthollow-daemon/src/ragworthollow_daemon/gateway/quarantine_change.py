"""Define a change of what is quarantined."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineChange:
    """
    Name what has been quarantined or cleared.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request or the prompt part.
    is_own : bool
        Whether it follows from what this process has seen itself; all
        gateways come to the same verdict by evidence that they receive.
    """

    fingerprint: str
    is_own: bool
