"""Count requests by outcome."""

from collections import Counter
from dataclasses import dataclass, field

from ragworthollow_ctl.losses.log_line import LogLine
from ragworthollow_ctl.losses.loss_cause import (
    LossCause,
    find_cause,
    is_eligible,
)
from ragworthollow_ctl.losses.pool_calls import PoolCalls

_END_EVENTS = ('request_ended', 'request_abandoned', 'stream_broken')
_MS_PER_SECOND = 1000


@dataclass(kw_only=True, slots=True)
class LossAccount:
    """
    Count requests and assign one cause to each that was not served.

    A retry by the caller counts as a separate request, since it has another
    request identifier.

    Attributes
    ----------
    eligible : Counter of int
        Requests that should have been served, by the second in which they
        ended.
    lost : Counter of int
        Requests that were not served, by second.
    causes : Counter of tuple of LossCause and str
        Requests that were not served, by cause and peer (or pool).
    routes : Counter of tuple of str and LossCause
        Requests that were not served, by route and cause.
    late : Counter of str
        Requests served after their latency objective, by route.
    calls_by_pool : dict of str to PoolCalls
        Statistics on the calls for pieces of each pool.
    """

    eligible: Counter[int] = field(default_factory=Counter)
    lost: Counter[int] = field(default_factory=Counter)
    causes: Counter[tuple[LossCause, str]] = field(default_factory=Counter)
    routes: Counter[tuple[str, LossCause]] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    calls_by_pool: dict[str, PoolCalls] = field(default_factory=dict)
    _ended_requests: set[str] = field(default_factory=set)
    _late_requests: set[str] = field(default_factory=set)

    def add(self, line: LogLine) -> None:
        """Add one log line; lines of other events are ignored."""
        if line.event == 'pieces_done':
            self.calls_by_pool.setdefault(line.pool, PoolCalls()).add(line)
        elif line.event == 'answered' and line.late_ms > 0:
            self._late_requests.add(line.request_id)
        elif line.event in _END_EVENTS and is_eligible(line):
            self._add_end(line)

    def _add_end(self, line: LogLine) -> None:
        # An aborted stream logs a second end line.
        if line.request_id in self._ended_requests:
            return
        self._ended_requests.add(line.request_id)
        second = int(line.time_ms // _MS_PER_SECOND)
        self.eligible[second] += 1
        cause = find_cause(line)
        if cause is None:
            self.late[line.route] += line.request_id in self._late_requests
            return
        self.lost[second] += 1
        self.causes[cause, line.peer or line.pool] += 1
        self.routes[line.route, cause] += 1
