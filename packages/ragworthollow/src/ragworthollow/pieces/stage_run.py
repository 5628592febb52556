"""Define the state of one stage of one request at a scheduler."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True, eq=False)
class StageRun:
    """
    Hold the state that the pieces of one stage share.

    Attributes
    ----------
    is_started : bool
        Whether any piece has been sent to an instance.
    unstarted_pieces : int
        Pieces that wait for a call, also after one that has failed.
    last_started_ms : float
        When the latest piece was sent, on the monotonic clock.
    are_inputs_released : bool
        Whether the results that all its pieces read were released.
    """

    is_started: bool = False
    unstarted_pieces: int = 0
    last_started_ms: float = 0
    are_inputs_released: bool = False

    def record_start(self, now_ms: float) -> None:
        """Record that a piece is sent to an instance."""
        self.is_started = True
        self.unstarted_pieces -= 1
        self.last_started_ms = now_ms
