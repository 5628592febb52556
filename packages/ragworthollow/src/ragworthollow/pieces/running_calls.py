"""Track which instances are processing calls."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from ragworthollow.pieces.call import PieceCall, RemoteCall


@dataclass(kw_only=True, slots=True)
class RunningCalls:
    """
    Hold the calls of a pool that are in progress.

    When a scheduler moves to another host (the gateway that runs it), the
    calls of the previous scheduler keep running at their instances, and the
    previous host reports them to the new scheduler.

    Attributes
    ----------
    own : list of PieceCall
        Calls that were sent by this scheduler.
    """

    own: list[PieceCall] = field(default_factory=list)
    _remote: dict[str, tuple[RemoteCall, ...]] = field(default_factory=dict)

    def record_remote_calls(
        self, source: str, calls: Sequence[RemoteCall]
    ) -> None:
        """
        Replace the calls that another scheduler of the pool has in progress.

        Parameters
        ----------
        source : str
            Host of that scheduler; its previous report is discarded.
        calls : sequence of RemoteCall
            All calls of that scheduler that are in progress.
        """
        self._remote[source] = tuple(calls)

    def get_remote_calls(self, now_ms: float) -> list[RemoteCall]:
        """Return the calls of other schedulers that have not expired."""
        return [
            call
            for calls in self._remote.values()
            for call in calls
            if call.expires_ms > now_ms
        ]

    def get_busy_instances(self, now_ms: float) -> list[str]:
        """Return the instance of each call in progress at any scheduler."""
        own = [call.instance.instance for call in self.own]
        return own + [
            remote.instance for remote in self.get_remote_calls(now_ms)
        ]
