"""Compute the upper bound of attainment for a logged day."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.bound import CapacityInterval, compute_bound
from measure.fleet_model.load_sheet import LoadSheet
from ragworthollow.utils.message import Message

_END_MS = 1e15


class _LogLine(Message):
    """Hold the fields of a log line about requests and instances."""

    event: str
    time_ms: float
    request_id: str = ''
    elapsed_ms: float = 0
    waited_ms: float | None = None
    pieces: int | tuple[int, ...] | None = None
    requests: tuple[str, ...] = ()
    pool: str | None = None
    peer: str | None = None
    appeared: tuple[str, ...] = ()
    left: tuple[str, ...] = ()


@dataclass(kw_only=True, slots=True)
class _InstanceTimes:
    """Record when instances were added to and removed from the list."""

    appeared_ms: dict[str, float] = field(default_factory=dict)
    removed_ms: dict[str, float] = field(default_factory=dict)

    def record(self, line: _LogLine) -> None:
        for name in line.appeared:
            self.appeared_ms.setdefault(name, line.time_ms)
        for name in line.left:
            self.removed_ms.setdefault(name, line.time_ms)


def bound_recorded(sheet: LoadSheet, path: Path) -> float:
    """
    Return the upper bound of attainment for a logged day.

    Kinds of requests are identified by their number of stages, and pools by
    their order in the stages of a request.  The log does not tell whether an
    instance was slow, which makes the bound higher.

    Parameters
    ----------
    sheet : LoadSheet
        Deployment and its load.
    path : Path
        Concatenated log lines of all gateways, each ending in a JSON object.
    """
    lines = list(_read_log(path))
    arrivals = _find_arrivals(sheet, lines)
    start_ms = min(arrival.at_ms for arrival in arrivals)
    pools = _find_pools(sheet, lines, arrivals)
    intervals: dict[str, list[CapacityInterval]] = {
        name: [] for name in sheet.pools
    }
    instances = _InstanceTimes()
    for line in lines:
        instances.record(line)
    for instance, pool in pools.items():
        intervals[pool].append(
            CapacityInterval(
                start_ms=instances.appeared_ms.get(instance, 0) - start_ms,
                end_ms=instances.removed_ms.get(instance, _END_MS) - start_ms,
            ),
        )
    return compute_bound(
        sheet,
        intervals,
        [
            replace(arrival, at_ms=arrival.at_ms - start_ms)
            for arrival in arrivals
        ],
    )


def _read_log(path: Path) -> Iterator[_LogLine]:
    with path.open(encoding='utf-8') as text:
        for row in text:
            _, brace, rest = row.partition('{"time_ms"')
            if brace:
                yield msgspec.json.decode(brace + rest, type=_LogLine)


def _find_arrivals(
    sheet: LoadSheet,
    lines: Iterable[_LogLine],
) -> list[Arrival]:
    """Return the first attempts of requests with stages."""
    by_stages = {len(kind.stages): name for name, kind in sheet.kinds.items()}
    if len(by_stages) < len(sheet.kinds):
        raise ValueError('two kinds of requests have the same number of stages')
    arrivals = []
    for line in lines:
        counts = line.pieces if isinstance(line.pieces, tuple) else ()
        is_first = line.event == 'request_ended' and line.waited_ms == 0
        if is_first and len(counts) in by_stages:
            arrivals.append(
                Arrival(
                    number=len(arrivals),
                    kind=by_stages[len(counts)],
                    at_ms=line.time_ms - line.elapsed_ms,
                    piece_counts=counts,
                    subject=0,
                    own_tokens=0,
                    request_id=line.request_id,
                ),
            )
    return arrivals


def _find_pools(
    sheet: LoadSheet,
    lines: Iterable[_LogLine],
    arrivals: Iterable[Arrival],
) -> dict[str, str]:
    """Return the pool of each instance that completed pieces."""
    kinds = {arrival.request_id: arrival.kind for arrival in arrivals}
    wire_names: dict[str, list[str]] = {}
    pools_by_instance: dict[str, str] = {}
    for line in lines:
        if line.event != 'pieces_done':
            continue
        pools_by_instance[line.peer] = line.pool
        for request_id in line.requests:
            seen = wire_names.setdefault(request_id, [])
            if line.pool not in seen:
                seen.append(line.pool)
    names: dict[str, str] = {}
    for request_id, seen in wire_names.items():
        names.update(_name_pools(sheet, kinds.get(request_id), seen))
    return {
        instance: names[wire_name]
        for instance, wire_name in pools_by_instance.items()
        if wire_name in names
    }


def _name_pools(
    sheet: LoadSheet,
    kind: str | None,
    seen: list[str],
) -> dict[str, str]:
    """Map the logged pools of a request to those of its kind, in order."""
    if kind is None:
        return {}
    pools = list(
        dict.fromkeys(stage.pool for stage in sheet.kinds[kind].stages)
    )
    if len(pools) != len(seen):
        return {}
    return dict(zip(seen, pools, strict=True))
