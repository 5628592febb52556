"""Bound what a scheduler that knows everything could reach."""

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

# Steps of the search for the part of a request that still fits.
_HALVINGS = 5
# Longer than any day.
_FOREVER_MS = 1e9
# Milliseconds of capacity below which two moments are the same.
_ROUNDING = 1e-6


@dataclass(frozen=True, kw_only=True, slots=True)
class _Job:
    """
    Hold the work that a request brings to a pool.

    Attributes
    ----------
    from_ms, to_ms : float
        When it can begin at the earliest, and has to end at the latest.
    work_ms : float
        Time of one instance, in calls that are always full.
    gain : float
        Worth of an answer in time beyond that of a late one.
    """

    from_ms: float
    to_ms: float
    work_ms: float
    gain: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Shift:
    """
    Say when an instance works, and at which share of its speed.

    Attributes
    ----------
    start_ms, end_ms : float
        From when to when.
    speed : float
        1 for its regular speed, negative to take some of it away.
    """

    start_ms: float
    end_ms: float
    speed: float = 1


def make_shifts(
    sheet: LoadSheet,
    pattern: Pattern,
) -> dict[str, list[Shift]]:
    """Return when the instances of each pool work, by a pattern."""
    shifts = {
        name: [
            Shift(start_ms=0, end_ms=_FOREVER_MS) for _ in range(pool.instances)
        ]
        for name, pool in sheet.pools.items()
    }
    for lost in pattern.lost:
        shifts[lost.pool].append(
            Shift(start_ms=lost.start_ms, end_ms=lost.end_ms, speed=-1),
        )
    for slow in pattern.slow:
        shifts[slow.pool].append(
            Shift(
                start_ms=slow.start_ms,
                end_ms=slow.end_ms,
                speed=1 / slow.factor - 1,
            ),
        )
    return shifts


def find_bound(
    sheet: LoadSheet,
    shifts: Mapping[str, Sequence[Shift]],
    arrivals: Sequence[Arrival],
) -> float:
    """
    Return a share of all worth that no scheduler can exceed.

    Each pool is looked at alone, with calls that are always full, work that
    can be split at will, no network, space without limit and late answers
    that cost nothing.  What is possible then is a flow problem on one
    machine; taking requests by their gain for each millisecond of work,
    whole or in part, solves it.  The least of the pools' figures bounds the
    whole.

    Parameters
    ----------
    sheet : LoadSheet
        The deployment.
    shifts : mapping of str to sequence of Shift
        When the instances of each pool work.
    arrivals : sequence of Arrival
        The requests of the day.
    """
    owed = sum(sheet.kinds[one.kind].worth for one in arrivals)
    lost = max(
        _find_loss(
            _make_jobs(sheet, pool, arrivals),
            _Capacity(shifts[pool]),
        )
        for pool in sheet.pools
    )
    return 1 - lost / owed


class _Capacity:
    """Know how much a pool can work until a moment."""

    def __init__(self, shifts: Sequence[Shift]) -> None:
        self._shifts = shifts

    def get_ms(self, until_ms: float) -> float:
        """Return the work that fits before a moment."""
        return sum(
            one.speed * max(0, min(until_ms, one.end_ms) - max(0, one.start_ms))
            for one in self._shifts
        )


def _make_jobs(
    sheet: LoadSheet,
    pool: str,
    arrivals: Sequence[Arrival],
) -> list[_Job]:
    jobs = []
    for one in arrivals:
        kind = sheet.kinds[one.kind]
        positions = [
            position
            for position, stage in enumerate(kind.stages)
            if stage.pool == pool and one.piece_counts[position]
        ]
        if positions:
            jobs.append(_make_job(sheet, kind, one, positions))
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
    earlier_ms = min(_get_before_ms(sheet, kind, one) for one in positions)
    later_ms = min(_get_behind_ms(sheet, kind, one) for one in positions)
    return _Job(
        from_ms=arrival.at_ms + earlier_ms,
        to_ms=arrival.at_ms + kind.objective_ms - later_ms,
        work_ms=work_ms,
        gain=kind.worth - kind.late_worth,
    )


def _get_before_ms(sheet: LoadSheet, kind: KindSheet, position: int) -> float:
    """Return the least time of the stages before one."""
    return max(
        (
            _get_before_ms(sheet, kind, before)
            + sheet.pools[kind.stages[before].pool].call_ms
            for before in kind.stages[position].after
        ),
        default=0,
    )


def _get_behind_ms(sheet: LoadSheet, kind: KindSheet, position: int) -> float:
    """Return the least time of what follows a stage."""
    return max(
        (
            sheet.pools[reader.pool].call_ms
            + _get_behind_ms(sheet, kind, number)
            for number, reader in enumerate(kind.stages)
            if position in reader.after
        ),
        default=sheet.engine.first_ms,
    )


def _find_loss(jobs: list[_Job], capacity: _Capacity) -> float:
    """Return the gain that no order of work can save."""
    kept: list[_Job] = []
    lost: float = 0
    for job in sorted(jobs, key=lambda one: -one.gain / one.work_ms):
        scaled = _Job(
            from_ms=capacity.get_ms(job.from_ms),
            to_ms=capacity.get_ms(job.to_ms),
            work_ms=job.work_ms,
            gain=job.gain,
        )
        part = _find_part(kept, scaled)
        lost += job.gain * (1 - part)
        if part:
            insort(kept, _shrink(scaled, part), key=lambda one: one.from_ms)
    return lost


def _find_part(kept: list[_Job], job: _Job) -> float:
    """Return the largest part of a job that fits beside the others."""
    if _fits(kept, job):
        return 1
    low: float = 0
    high: float = 1
    for _ in range(_HALVINGS):
        middle = (low + high) / 2
        if _fits(kept, _shrink(job, middle)):
            low = middle
        else:
            high = middle
    # The true part lies between the two; a bound takes the larger one.
    return high


def _shrink(job: _Job, part: float) -> _Job:
    return _Job(
        from_ms=job.from_ms,
        to_ms=job.to_ms,
        work_ms=job.work_ms * part,
        gain=job.gain,
    )


def _fits(kept: list[_Job], job: _Job) -> bool:
    """
    Tell whether all jobs can be done in time.

    Times are in units of capacity, so that one machine of speed 1 does the
    work.  Where any order of preemptible work is in time, the order by
    deadline is.
    """
    coming = deque(merge(kept, [job], key=lambda one: one.from_ms))
    waiting: list[tuple[float, float]] = []
    now: float = 0
    while coming or waiting:
        if not waiting:
            now = max(now, coming[0].from_ms)
        while coming and coming[0].from_ms <= now:
            begun = coming.popleft()
            heappush(waiting, (begun.to_ms, begun.work_ms))
        due, left = heappop(waiting)
        until = min(now + left, coming[0].from_ms if coming else now + left)
        if now + left > until:
            heappush(waiting, (due, left - (until - now)))
        elif until > due + _ROUNDING:
            return False
        now = until
    return True
