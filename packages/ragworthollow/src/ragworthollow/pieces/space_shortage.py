"""Detect that space for results limits the throughput of a pool."""

from collections.abc import Iterable
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.pieces.batch_limit import BatchLimit
from ragworthollow.pieces.call import PieceCall


@dataclass(kw_only=True, slots=True)
class SpaceShortage:
    """
    Tell whether a pool's queue grows because its results take all space.

    In a burst, the results of a pool wait for the next stage, its instances
    send small calls or none, and the queue grows although they have time.
    """

    _short_until_ms: float = float('-inf')

    def record(
        self,
        calls: Iterable[PieceCall],
        *,
        queued_calls: float,
        now_ms: float,
    ) -> None:
        """
        Record the calls of one scheduling cycle.

        Parameters
        ----------
        calls : iterable of PieceCall
            Calls that were sent.
        queued_calls : float
            Full calls for each instance that the remaining queue amounts to.
        now_ms : float
            Current time on the monotonic clock.
        """
        is_limited = any(call.limit is BatchLimit.space for call in calls)
        has_backlog = queued_calls >= global_settings.SPACE_SHORTAGE_CALLS
        if is_limited and has_backlog:
            self._short_until_ms = now_ms + global_settings.SPACE_SHORTAGE_MS

    def is_short(self, now_ms: float) -> bool:
        """Return whether space has limited the pool recently."""
        return now_ms < self._short_until_ms
