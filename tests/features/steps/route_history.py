"""Define steps for the pools of the routes of earlier configurations."""

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from ragworthollow.routes import (
    RequestLimits,
    Route,
    RouteHistory,
    RouteKind,
    RouteTable,
    WeightedPool,
)

_HOST = 'host'
_PREFIXES = ('/', '/a/', '/a/b/', '//')
_PATHS = ('/', '/x', '/a/', '/a/c', '/a/b/', '/a/b/c', '//', '//x')
_POOLS = 'PQR'
_TIMEOUT_MS = 20
_SHORT_TIMEOUT_MS = 4
_SPREAD_MS = 3
_INTERVALS_MS = (0, 1, 3, 5, 8, 15)
_RUNS = 1000
_MAX_CHANGES = 5


@dataclass(frozen=True, kw_only=True)
class _Lookup:
    """Hold what a history says of one path, and what was in force."""

    found: frozenset[str]
    # The same once streams of former routes are no longer resumed.
    found_later: frozenset[str]
    # Pools of the streams that may still be resumed.
    possible: frozenset[str]
    # Pool of the present route, and the routes in all tables.
    pool: str
    routes: tuple[Route | None, ...]


@dataclass(kw_only=True)
class _Run:
    """Apply configurations to a history, and keep them."""

    rng: random.Random
    now_ms: int = 0
    history: RouteHistory = field(default_factory=RouteHistory)
    # Tables, and when each came into force.
    tables: list[tuple[RouteTable, int]] = field(default_factory=list)

    def apply(self, routes: Iterable[Route]) -> None:
        table = _make_table(routes)
        self.history.record(table, self.now_ms)
        self.tables.append((table, self.now_ms))

    def look_up(self) -> Iterator[_Lookup]:
        for path in _PATHS:
            routes = [table.match(_HOST, path) for table, _ in self.tables]
            present = routes[-1]
            if present is None or not present.is_stream():
                continue
            request_id = str(self.rng.random())
            possible = {
                route.choose_pool(request_id)
                for route, until_ms in zip(routes, self._get_ends_ms())
                if route is not None
                and route.is_stream()
                and self.now_ms - until_ms - _SPREAD_MS < route.timeout_ms
            }
            yield _Lookup(
                found=self._find_pools(path, request_id),
                found_later=self._find_pools(
                    path, request_id, _TIMEOUT_MS + _SPREAD_MS
                ),
                possible=frozenset(possible),
                pool=present.choose_pool(request_id),
                routes=tuple(routes),
            )

    def _find_pools(
        self, path: str, request_id: str, later_ms: int = 0
    ) -> frozenset[str]:
        return self.history.find_pools(
            _HOST,
            path,
            request_id=request_id,
            now_ms=self.now_ms + later_ms,
            spread_ms=_SPREAD_MS,
        )

    def _get_ends_ms(self) -> list[int]:
        """Return until when each table was in force."""
        return [*(since_ms for _, since_ms in self.tables[1:]), self.now_ms]


def _make_table(routes: Iterable[Route]) -> RouteTable:
    return RouteTable(
        version=1,
        routes=routes,
        pools={},
        holders_by_key={},
        requires_key=False,
        limits=RequestLimits(),
    )


def _make_route(
    prefix: str, rng: random.Random, timeouts_ms: Sequence[int] = (_TIMEOUT_MS,)
) -> Route:
    pools = rng.sample(_POOLS, rng.choice((1, 1, 2, 3)))
    return Route(
        name=rng.choice(('some', 'other')),
        host=_HOST,
        path_prefix=prefix,
        kind=RouteKind.safe if rng.random() < 0.2 else RouteKind.stream,
        weighted_pools=tuple(
            WeightedPool(pool=pool, weight=rng.choice((0, 1, 3)))
            for pool in pools
        ),
        timeout_ms=rng.choice(timeouts_ms),
        objective_ms=_TIMEOUT_MS,
    )


def _run(seed: int, change: str) -> _Run:
    rng = random.Random(seed)
    run = _Run(rng=rng)
    routes = {'/': _make_route('/', rng)}
    fewest = 0 if change == 'some or all routes' else 1
    timeouts_ms = [_TIMEOUT_MS]
    if change == 'routes and time limits':
        timeouts_ms.append(_SHORT_TIMEOUT_MS)
    for _ in range(rng.randint(1, _MAX_CHANGES)):
        run.apply(routes.values())
        run.now_ms += rng.choice(_INTERVALS_MS)
        for prefix in rng.sample(_PREFIXES, rng.choice((1, 1, 2))):
            if len(routes) > fewest and rng.random() < 0.5:
                routes.pop(prefix, None)
            else:
                routes[prefix] = _make_route(prefix, rng, timeouts_ms)
    return run


@when('configurations change {change} at random')
def change_routes(context, change):
    context.lookups = [
        lookup
        for seed in range(_RUNS)
        for lookup in _run(seed, change).look_up()
    ]


@then('each stream that may be resumed began in one of the pools')
def check_pools(context):
    moved = [lookup for lookup in context.lookups if len(lookup.possible) > 1]
    assert len(moved) > _RUNS / 10, len(moved)
    for lookup in context.lookups:
        assert lookup.possible <= lookup.found, lookup


@then('where no route of a path has changed there is no other pool')
def check_calm(context):
    calm = [
        lookup for lookup in context.lookups if len(set(lookup.routes)) == 1
    ]
    changed = [lookup for lookup in calm if len(lookup.routes) > 1]
    assert len(changed) > _RUNS / 10, len(changed)
    for lookup in calm:
        assert lookup.found == {lookup.pool}, lookup


@then('there is none once streams of before are no longer resumed')
def check_later(context):
    for lookup in context.lookups:
        assert lookup.found_later == {lookup.pool}, lookup


@then('any request gets the route with the longest prefix of its path')
def check_match(context):
    rng = random.Random(0)
    routes = {prefix: _make_route(prefix, rng) for prefix in _PREFIXES}

    @for_all(
        st.sets(st.sampled_from(_PREFIXES)),
        st.sampled_from(('host', 'HOST', 'Host:80', 'host:', 'other', '')),
        st.text('/abA', max_size=8),
    )
    @settings(derandomize=True, database=None, deadline=None)
    def check(prefixes, host, path):
        table = _make_table(routes[prefix] for prefix in prefixes)
        is_known = host.partition(':')[0].lower() == _HOST
        longest = max(
            filter(path.startswith, prefixes if is_known else ()),
            key=len,
            default=None,
        )
        assert table.match(host, path) is routes.get(longest)

    check()
