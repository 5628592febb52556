"""Aggregate the calls for pieces of one pool."""

from collections import Counter
from dataclasses import dataclass, field

from ragworthollow_ctl.losses.log_line import LogLine


@dataclass(kw_only=True, slots=True)
class PoolCalls:
    """
    Count calls, their pieces, and the limits on the size of calls.

    Attributes
    ----------
    calls, pieces : int
        Number of calls that ended with results, and of their pieces.
    largest : int
        Maximum number of pieces in one call.
    queued : int
        Sum over all calls of the pieces queued when the call ended.
    limits : Counter of str
        Number of calls by the limit that kept them from carrying more pieces.
    """

    calls: int = 0
    pieces: int = 0
    largest: int = 0
    queued: int = 0
    limits: Counter[str] = field(default_factory=Counter)

    def add(self, line: LogLine) -> None:
        """Add the log line of the end of a call."""
        if not isinstance(line.pieces, int):
            return
        self.calls += 1
        self.pieces += line.pieces
        self.largest = max(self.largest, line.pieces)
        self.queued += line.queued
        self.limits[line.limit] += 1
