"""Define the error of a call to the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformError:
    """
    Say that a call to the platform gave no usable answer.

    Attributes
    ----------
    step : str
        Operation that was tried.
    peer : str
        Address that was called.
    detail : str
        What happened.
    may_have_applied : bool
        Whether a write may have taken effect although its answer is lost.
    """

    step: str
    peer: str
    detail: str
    may_have_applied: bool = True
