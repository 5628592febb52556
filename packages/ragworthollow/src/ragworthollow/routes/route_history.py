"""Remember which pools the routes of earlier configurations had."""

import math
from collections import deque
from collections.abc import Iterable, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.routes.route import Route
from ragworthollow.routes.route_table import (
    Location,
    RouteTable,
    list_locations,
)

_Entry = tuple[Route | None, float]


class RouteHistory:
    """
    Remember the routes that other configurations have replaced.

    It holds what this process has seen: one that has just started knows the
    present configuration only.  Where configurations replace more routes than
    `MAX_FORMER_ROUTES`, the oldest are forgotten.
    """

    def __init__(self) -> None:
        self._routes: Mapping[Location, Route] | None = None
        # What was in force at a location, None without a route, and until when.
        self._former: dict[Location, deque[_Entry]] = {}
        # The locations of these entries, the oldest entry first.
        self._order: deque[Location] = deque()

    def record(self, table: RouteTable, now_ms: float) -> None:
        """
        Record the table that is in force from now on.

        Parameters
        ----------
        table : RouteTable
            The table.
        now_ms : float
            Time on the monotonic clock.
        """
        previous = self._routes
        self._routes = table.get_routes()
        if previous is not None:
            for location in previous.keys() | self._routes.keys():
                route = previous.get(location)
                if not _is_same_route(route, self._routes.get(location)):
                    self._add(location, (route, now_ms))
        self._expire(now_ms)

    def find_pools(
        self,
        host: str,
        path: str,
        *,
        request_id: str,
        now_ms: float,
        spread_ms: float,
    ) -> frozenset[str]:
        """
        Return the pools in which a stream that may be resumed may have begun.

        Parameters
        ----------
        host, path : str
            Host and path of the request.
        request_id : str
            Attempt that began the stream; empty if it is not known.
        now_ms : float
            Time on the monotonic clock.
        spread_ms : float
            Time in which all gateways learn of a change.
        """
        pools: set[str] = set()
        # Until when streams of the path have begun at the location.
        visible_ms = now_ms
        routes = self._routes or {}
        for location in list_locations(host, path):
            present = routes.get(location)
            former = self._former.get(location, ())
            for route, until_ms in ((present, now_ms), *former):
                age_ms = now_ms - min(until_ms, visible_ms) - spread_ms
                if _may_be_resumed(route, age_ms):
                    pools |= route.list_pools(request_id)
            if present is not None:
                visible_ms = min(visible_ms, _get_last_gap_ms(former))
            if math.isinf(visible_ms):
                break
        return frozenset(pools)

    def _add(self, location: Location, entry: _Entry) -> None:
        self._former.setdefault(location, deque()).append(entry)
        self._order.append(location)

    def _expire(self, now_ms: float) -> None:
        since_ms = now_ms - 2 * global_settings.MAX_DEADLINE_MS
        while self._order:
            location = self._order[0]
            former = self._former[location]
            _, until_ms = former[0]
            is_full = len(self._order) > global_settings.MAX_FORMER_ROUTES
            if until_ms > since_ms and not is_full:
                break
            self._order.popleft()
            former.popleft()
            if not former:
                self._former.pop(location)


def _is_same_route(route: Route | None, other: Route | None) -> bool:
    """Return whether streams begin in the same pools and go on as long."""
    if route is None or other is None:
        return route is other
    return (
        route.get_split() == other.get_split()
        and route.timeout_ms == other.timeout_ms
    )


def _may_be_resumed(route: Route | None, age_ms: float) -> bool:
    """Return whether streams that began at a route so long ago may go on."""
    return route is not None and route.is_stream() and age_ms < route.timeout_ms


def _get_last_gap_ms(former: Iterable[_Entry]) -> float:
    """Return until when there was no route at a location."""
    return max(
        (until_ms for route, until_ms in former if route is None),
        default=-math.inf,
    )
