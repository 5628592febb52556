"""Sum up the calls for pieces of one pool."""

from collections import Counter
from dataclasses import dataclass, field

from ragworthollow_ctl.losses.log_line import LogLine


@dataclass(kw_only=True, slots=True)
class PoolCalls:
    """
    Count calls, their pieces, and what kept them from carrying more.

    Attributes
    ----------
    calls, pieces : int
        Calls that ended with results, and their pieces.
    largest : int
        Most pieces of one call.
    queued : int
        Pieces that waited, summed over the ends of calls.
    limits : Counter of str
        Calls by what limited them.
    """

    calls: int = 0
    pieces: int = 0
    largest: int = 0
    queued: int = 0
    limits: Counter[str] = field(default_factory=Counter)

    def note(self, line: LogLine) -> None:
        """Take the end of one call."""
        if not isinstance(line.pieces, int):
            return
        self.calls += 1
        self.pieces += line.pieces
        self.largest = max(self.largest, line.pieces)
        self.queued += line.queued
        self.limits[line.limit] += 1
