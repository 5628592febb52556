"""Define the state of one stage of one request at a gate."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class StageRun:
    """
    Hold the state that the pieces of one stage share.

    Attributes
    ----------
    is_begun : bool
        Whether any piece has been sent to an instance.
    """

    is_begun: bool = False
