"""Compute the upper bound of a clairvoyant scheduler's attainment."""

from bisect import insort
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush, merge

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.load_sheet import (
    KindSheet,
    LoadSheet,
    Pattern,
)

# Bisection steps when searching for the feasible fraction of a job.
_BISECTION_STEPS = 5
# Later than the end of any day.
_UNBOUNDED_MS = 1e9
# Milliseconds of capacity within which two times are considered equal.
_TOLERANCE_MS = 1e-6


@dataclass(frozen=True, kw_only=True, slots=True)
class _Job:
    """
    Hold the work that a request causes in a pool.

    Attributes
    ----------
    earliest_ms, deadline_ms : float
        Earliest start and latest end.
    work_ms : float
        Busy time of one instance, assuming that all calls are full.
    gain : float
        Worth of a response in time minus the worth of a late one.
    """

    earliest_ms: float
    deadline_ms: float
    work_ms: float
    gain: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityInterval:
    """
    Describe an interval in which an instance works, and its speed.

    Attributes
    ----------
    start_ms, end_ms : float
        Start and end of the interval.
    speed : float
        1 for the regular speed; negative to subtract from the capacity of
        an overlapping interval.
    """

    start_ms: float
    end_ms: float
    speed: float = 1


def make_capacity_intervals(
    sheet: LoadSheet,
    pattern: Pattern,
) -> dict[str, list[CapacityInterval]]:
    """Return the capacity intervals of each pool under a pattern."""
    intervals = {
        name: [
            CapacityInterval(start_ms=0, end_ms=_UNBOUNDED_MS)
            for _ in range(pool.instances)
        ]
        for name, pool in sheet.pools.items()
    }
    for lost in pattern.lost:
        intervals[lost.pool].append(
            CapacityInterval(
                start_ms=lost.start_ms, end_ms=lost.end_ms, speed=-1
            ),
        )
    for slow in pattern.slow:
        intervals[slow.pool].append(
            CapacityInterval(
                start_ms=slow.start_ms,
                end_ms=slow.end_ms,
                speed=1 / slow.factor - 1,
            ),
        )
    return intervals


def compute_bound(
    sheet: LoadSheet,
    intervals: Mapping[str, Sequence[CapacityInterval]],
    arrivals: Sequence[Arrival],
) -> float:
    """
    Return a share of the total worth that no scheduler can exceed.

    Each pool is considered alone, with calls that are always full, arbitrarily
    divisible work, no network latency, unlimited space for results and late
    responses that take no work.  This relaxation is a flow problem on a
    single machine, which a greedy algorithm solves: it admits requests by
    descending gain per millisecond of work, fully or in part.  The lowest
    figure of all pools is the bound.

    Parameters
    ----------
    sheet : LoadSheet
        The deployment.
    intervals : mapping of str to sequence of CapacityInterval
        Capacity intervals of the instances by pool.
    arrivals : sequence of Arrival
        The requests of the day.
    """
    total_worth = sum(sheet.kinds[arrival.kind].worth for arrival in arrivals)
    lost_gain = max(
        _compute_lost_gain(
            _make_jobs(sheet, pool, arrivals),
            _Capacity(intervals[pool]),
        )
        for pool in sheet.pools
    )
    return 1 - lost_gain / total_worth


class _Capacity:
    """Compute the cumulative capacity of a pool."""

    def __init__(self, intervals: Sequence[CapacityInterval]) -> None:
        self._intervals = intervals

    def get_ms(self, until_ms: float) -> float:
        """Return the capacity, in ms of work, up to a point in time."""
        return sum(
            interval.speed
            * max(0, min(until_ms, interval.end_ms) - max(0, interval.start_ms))
            for interval in self._intervals
        )


def _make_jobs(
    sheet: LoadSheet,
    pool: str,
    arrivals: Sequence[Arrival],
) -> list[_Job]:
    jobs = []
    for arrival in arrivals:
        kind = sheet.kinds[arrival.kind]
        positions = [
            position
            for position, stage in enumerate(kind.stages)
            if stage.pool == pool and arrival.piece_counts[position]
        ]
        if positions:
            jobs.append(_make_job(sheet, kind, arrival, positions))
    return jobs


def _make_job(
    sheet: LoadSheet,
    kind: KindSheet,
    arrival: Arrival,
    positions: list[int],
) -> _Job:
    pool = sheet.pools[kind.stages[positions[0]].pool]
    call_share_ms = pool.call_ms / pool.batch
    work_ms = sum(
        arrival.piece_counts[position]
        * (call_share_ms + pool.piece_ms * kind.stages[position].work_share)
        for position in positions
    )
    preceding_ms = min(
        _get_min_preceding_ms(sheet, kind, index) for index in positions
    )
    following_ms = min(
        _get_min_following_ms(sheet, kind, index) for index in positions
    )
    return _Job(
        earliest_ms=arrival.at_ms + preceding_ms,
        deadline_ms=arrival.at_ms + kind.objective_ms - following_ms,
        work_ms=work_ms,
        gain=kind.worth - kind.late_worth,
    )


def _get_min_preceding_ms(
    sheet: LoadSheet, kind: KindSheet, position: int
) -> float:
    """Return the minimum time of the stages before a stage."""
    return max(
        (
            _get_min_preceding_ms(sheet, kind, before)
            + sheet.pools[kind.stages[before].pool].call_ms
            for before in kind.stages[position].after
        ),
        default=0,
    )


def _get_min_following_ms(
    sheet: LoadSheet, kind: KindSheet, position: int
) -> float:
    """Return the minimum time from the end of a stage to the first event."""
    return max(
        (
            sheet.pools[consumer.pool].call_ms
            + _get_min_following_ms(sheet, kind, number)
            for number, consumer in enumerate(kind.stages)
            if position in consumer.after
        ),
        default=sheet.engine.first_ms,
    )


def _compute_lost_gain(jobs: list[_Job], capacity: _Capacity) -> float:
    """Return the gain that is lost in any order of execution."""
    accepted: list[_Job] = []
    lost_gain: float = 0
    for job in sorted(
        jobs, key=lambda candidate: -candidate.gain / candidate.work_ms
    ):
        scaled = _Job(
            earliest_ms=capacity.get_ms(job.earliest_ms),
            deadline_ms=capacity.get_ms(job.deadline_ms),
            work_ms=job.work_ms,
            gain=job.gain,
        )
        fraction = _find_feasible_fraction(accepted, scaled)
        lost_gain += job.gain * (1 - fraction)
        if fraction:
            insort(
                accepted,
                _scale_job(scaled, fraction),
                key=lambda candidate: candidate.earliest_ms,
            )
    return lost_gain


def _find_feasible_fraction(accepted: list[_Job], job: _Job) -> float:
    """Return the largest fraction of a job that fits beside accepted jobs."""
    if _fits(accepted, job):
        return 1
    low: float = 0
    high: float = 1
    for _ in range(_BISECTION_STEPS):
        middle = (low + high) / 2
        if _fits(accepted, _scale_job(job, middle)):
            low = middle
        else:
            high = middle
    # The exact fraction lies between both; an upper bound needs the larger.
    return high


def _scale_job(job: _Job, fraction: float) -> _Job:
    return _Job(
        earliest_ms=job.earliest_ms,
        deadline_ms=job.deadline_ms,
        work_ms=job.work_ms * fraction,
        gain=job.gain,
    )


def _fits(accepted: list[_Job], job: _Job) -> bool:
    """
    Return whether all jobs can meet their deadlines.

    Times are in units of capacity, which reduces the pool to one machine of
    speed 1.  If any preemptive schedule meets all deadlines, earliest
    deadline first does.
    """
    pending = deque(
        merge(accepted, [job], key=lambda candidate: candidate.earliest_ms)
    )
    ready: list[tuple[float, float]] = []
    now: float = 0
    while pending or ready:
        if not ready:
            now = max(now, pending[0].earliest_ms)
        while pending and pending[0].earliest_ms <= now:
            arrived = pending.popleft()
            heappush(ready, (arrived.deadline_ms, arrived.work_ms))
        deadline, remaining = heappop(ready)
        until = min(
            now + remaining,
            pending[0].earliest_ms if pending else now + remaining,
        )
        if now + remaining > until:
            heappush(ready, (deadline, remaining - (until - now)))
        elif until > deadline + _TOLERANCE_MS:
            return False
        now = until
    return True
