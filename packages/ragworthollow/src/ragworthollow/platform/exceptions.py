"""Define the error of a call to the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformError:
    """
    Describe a call to the platform that got no usable response.

    Attributes
    ----------
    step : str
        Operation that failed.
    peer : str
        Address that was called.
    detail : str
        Cause of the failure.
    may_have_applied : bool
        Whether a write may have taken effect although its response was lost.
    """

    step: str
    peer: str
    detail: str
    may_have_applied: bool = True
