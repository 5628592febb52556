"""Define the state of one stage of one request at a scheduler."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class StageRun:
    """
    Hold the state that the pieces of one stage share.

    Attributes
    ----------
    is_started : bool
        Whether any piece has been sent to an instance.
    """

    is_started: bool = False
