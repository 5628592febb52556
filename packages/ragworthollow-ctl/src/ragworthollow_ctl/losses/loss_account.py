"""Count requests by outcome."""

from collections import Counter
from dataclasses import dataclass, field

from ragworthollow_ctl.losses.group_counts import GroupCounts
from ragworthollow_ctl.losses.grouping import Grouping, get_group
from ragworthollow_ctl.losses.late_cause import LateCause, find_late_cause
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
    late : Counter of tuple of str and LateCause
        Requests served after their latency objective, by route and cause.
    grouping : Grouping or None
        By what `groups` compares requests; None for not at all.
    groups : dict of str to GroupCounts
        Requests by group.
    calls_by_pool : dict of str to PoolCalls
        Statistics on the calls for pieces of each pool.
    """

    eligible: Counter[int] = field(default_factory=Counter)
    lost: Counter[int] = field(default_factory=Counter)
    causes: Counter[tuple[LossCause, str]] = field(default_factory=Counter)
    routes: Counter[tuple[str, LossCause]] = field(default_factory=Counter)
    late: Counter[tuple[str, LateCause]] = field(default_factory=Counter)
    grouping: Grouping | None = None
    groups: dict[str, GroupCounts] = field(default_factory=dict)
    calls_by_pool: dict[str, PoolCalls] = field(default_factory=dict)
    _ended_requests: set[str] = field(default_factory=set)
    _late_causes: dict[str, LateCause] = field(default_factory=dict)

    def add(self, line: LogLine) -> None:
        """Add one log line; lines of other events are ignored."""
        if line.event == 'pieces_done':
            self.calls_by_pool.setdefault(line.pool, PoolCalls()).add(line)
        elif line.event == 'answered' and line.late_ms > 0:
            self._late_causes[line.request_id] = find_late_cause(line)
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
        late_cause = self._late_causes.get(line.request_id)
        self._count_in_group(line, is_lost=cause is not None)
        if cause is not None:
            self.lost[second] += 1
            self.causes[cause, line.peer or line.pool] += 1
            self.routes[line.route, cause] += 1
        elif late_cause is not None:
            self.late[line.route, late_cause] += 1

    def _count_in_group(self, line: LogLine, *, is_lost: bool) -> None:
        if self.grouping is None:
            return
        group = get_group(line, self.grouping)
        counts = self.groups.setdefault(group, GroupCounts())
        counts.requests += 1
        counts.lost += is_lost
        counts.late += not is_lost and line.request_id in self._late_causes
