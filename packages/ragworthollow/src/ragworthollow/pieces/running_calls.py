"""Know which instances work on calls."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from ragworthollow.pieces.call import ForeignCall, PieceCall


@dataclass(kw_only=True, slots=True)
class RunningCalls:
    """
    Hold the calls of a pool that are in progress.

    While the host of a gate changes, the calls of the gate before run on at
    their instances; this one hears of them.

    Attributes
    ----------
    own : list of PieceCall
        Calls that were sent from here.
    """

    own: list[PieceCall] = field(default_factory=list)
    _foreign: dict[str, tuple[ForeignCall, ...]] = field(default_factory=dict)

    def learn(self, source: str, calls: Sequence[ForeignCall]) -> None:
        """
        Take the calls that another gate of the pool has running now.

        Parameters
        ----------
        source : str
            Who hosts that gate; what it told before is forgotten.
        calls : sequence of ForeignCall
            All of them.
        """
        self._foreign[source] = tuple(calls)

    def get_foreign(self, now_ms: float) -> list[ForeignCall]:
        """Return the calls of other gates that still count."""
        return [
            call
            for calls in self._foreign.values()
            for call in calls
            if call.until_ms > now_ms
        ]

    def get_occupied(self, now_ms: float) -> list[str]:
        """Return the instance of each call in progress, whoever sent it."""
        own = [call.instance.instance for call in self.own]
        return own + [one.instance for one in self.get_foreign(now_ms)]
