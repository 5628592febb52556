"""Bound a day that gateways logged."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.bound import Shift, find_bound
from measure.fleet_model.load_sheet import LoadSheet
from ragworthollow.utils.message import Message

_END_MS = 1e15


class _Line(Message):
    """Hold the fields of a log line that tell of requests and instances."""

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
class _Instances:
    """Know since when and until when instances were listed."""

    appeared_ms: dict[str, float] = field(default_factory=dict)
    left_ms: dict[str, float] = field(default_factory=dict)

    def note(self, line: _Line) -> None:
        for name in line.appeared:
            self.appeared_ms.setdefault(name, line.time_ms)
        for name in line.left:
            self.left_ms.setdefault(name, line.time_ms)


def bound_recorded(sheet: LoadSheet, path: Path) -> float:
    """
    Bound what could have been attained on a logged day.

    Kinds of requests are told apart by their number of stages, and pools by
    their order in a request's stages; whether an instance was slow is not
    known, which makes the bound higher.

    Parameters
    ----------
    sheet : LoadSheet
        The deployment.
    path : Path
        Lines of all gateways together, each with its JSON at the end.
    """
    lines = list(_read(path))
    arrivals = _find_arrivals(sheet, lines)
    start_ms = min(one.at_ms for one in arrivals)
    pools = _find_pools(sheet, lines, arrivals)
    shifts: dict[str, list[Shift]] = {name: [] for name in sheet.pools}
    instances = _Instances()
    for line in lines:
        instances.note(line)
    for instance, pool in pools.items():
        shifts[pool].append(
            Shift(
                start_ms=instances.appeared_ms.get(instance, 0) - start_ms,
                end_ms=instances.left_ms.get(instance, _END_MS) - start_ms,
            ),
        )
    return find_bound(
        sheet,
        shifts,
        [replace(one, at_ms=one.at_ms - start_ms) for one in arrivals],
    )


def _read(path: Path) -> Iterator[_Line]:
    with path.open(encoding='utf-8') as text:
        for row in text:
            _, brace, rest = row.partition('{"time_ms"')
            if brace:
                yield msgspec.json.decode(brace + rest, type=_Line)


def _find_arrivals(
    sheet: LoadSheet,
    lines: Iterable[_Line],
) -> list[Arrival]:
    """Find the first tries of requests with stages."""
    by_stages = {len(kind.stages): name for name, kind in sheet.kinds.items()}
    if len(by_stages) < len(sheet.kinds):
        raise ValueError('two kinds of requests have as many stages')
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
    lines: Iterable[_Line],
    arrivals: Iterable[Arrival],
) -> dict[str, str]:
    """Return the pool of each instance that has made pieces."""
    kinds = {one.request_id: one.kind for one in arrivals}
    wire_names: dict[str, list[str]] = {}
    pools_of: dict[str, str] = {}
    for line in lines:
        if line.event != 'pieces_done':
            continue
        pools_of[line.peer] = line.pool
        for request_id in line.requests:
            seen = wire_names.setdefault(request_id, [])
            if line.pool not in seen:
                seen.append(line.pool)
    names: dict[str, str] = {}
    for request_id, seen in wire_names.items():
        names.update(_name_pools(sheet, kinds.get(request_id), seen))
    return {
        instance: names[wire_name]
        for instance, wire_name in pools_of.items()
        if wire_name in names
    }


def _name_pools(
    sheet: LoadSheet,
    kind: str | None,
    seen: list[str],
) -> dict[str, str]:
    """Match the pools of one request with those of its kind, in order."""
    if kind is None:
        return {}
    pools = list(dict.fromkeys(one.pool for one in sheet.kinds[kind].stages))
    if len(pools) != len(seen):
        return {}
    return dict(zip(seen, pools, strict=True))
