"""Account for requests by what became of them."""

from collections import Counter
from dataclasses import dataclass, field

from ragworthollow_ctl.losses.log_line import LogLine
from ragworthollow_ctl.losses.loss_cause import LossCause, find_cause, is_owed
from ragworthollow_ctl.losses.pool_calls import PoolCalls

_ENDS = ('request_ended', 'request_abandoned', 'stream_broken')
_MILLISECONDS = 1000


@dataclass(kw_only=True, slots=True)
class LossAccount:
    """
    Give each request that was not served one cause.

    A caller that comes back is another request here: its return has another
    identifier.

    Attributes
    ----------
    owed : Counter of int
        Requests that had to be served, by second of their end.
    lost : Counter of int
        Those that were not, by second.
    causes : Counter of tuple of LossCause and str
        Those that were not, by cause and peer.
    routes : Counter of tuple of str and LossCause
        The same by route and cause.
    late : Counter of str
        Those that were served after their objective, by route.
    calls_by_pool : dict of str to PoolCalls
        Calls for pieces.
    """

    owed: Counter[int] = field(default_factory=Counter)
    lost: Counter[int] = field(default_factory=Counter)
    causes: Counter[tuple[LossCause, str]] = field(default_factory=Counter)
    routes: Counter[tuple[str, LossCause]] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    calls_by_pool: dict[str, PoolCalls] = field(default_factory=dict)
    _ended: set[str] = field(default_factory=set)
    _answered_late: set[str] = field(default_factory=set)

    def take(self, line: LogLine) -> None:
        """Take one log line; lines about other things change nothing."""
        if line.event == 'pieces_done':
            self.calls_by_pool.setdefault(line.pool, PoolCalls()).note(line)
        elif line.event == 'answered' and line.late_ms > 0:
            self._answered_late.add(line.request_id)
        elif line.event in _ENDS and is_owed(line):
            self._take_end(line)

    def _take_end(self, line: LogLine) -> None:
        # A stream that broke ends with a second line, as if it were whole.
        if line.request_id in self._ended:
            return
        self._ended.add(line.request_id)
        second = int(line.time_ms // _MILLISECONDS)
        self.owed[second] += 1
        cause = find_cause(line)
        if cause is None:
            self.late[line.route] += line.request_id in self._answered_late
            return
        self.lost[second] += 1
        self.causes[cause, line.peer or line.pool] += 1
        self.routes[line.route, cause] += 1
