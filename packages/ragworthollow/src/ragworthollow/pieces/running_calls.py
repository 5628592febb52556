"""Track which instances are processing calls."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from ragworthollow.pieces.call import ForeignCall, PieceCall


@dataclass(kw_only=True, slots=True)
class RunningCalls:
    """
    Hold the calls of a pool that are in progress.

    When a gate moves to another host, the calls of the previous gate keep
    running at their instances, and their host reports them to the new gate.

    Attributes
    ----------
    own : list of PieceCall
        Calls that were sent by this gate.
    """

    own: list[PieceCall] = field(default_factory=list)
    _foreign: dict[str, tuple[ForeignCall, ...]] = field(default_factory=dict)

    def learn(self, source: str, calls: Sequence[ForeignCall]) -> None:
        """
        Replace the calls that another gate of the pool has in progress.

        Parameters
        ----------
        source : str
            Host of that gate; its previous report is discarded.
        calls : sequence of ForeignCall
            All calls of that gate that are in progress.
        """
        self._foreign[source] = tuple(calls)

    def get_foreign(self, now_ms: float) -> list[ForeignCall]:
        """Return the calls of other gates that have not expired."""
        return [
            call
            for calls in self._foreign.values()
            for call in calls
            if call.until_ms > now_ms
        ]

    def get_occupied(self, now_ms: float) -> list[str]:
        """Return the instance of each call in progress at any gate."""
        own = [call.instance.instance for call in self.own]
        return own + [call.instance for call in self.get_foreign(now_ms)]
