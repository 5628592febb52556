"""Remember which pools the routes of earlier configurations had."""

import math
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
    present configuration only.
    """

    def __init__(self) -> None:
        self._routes: Mapping[Location, Route] = {}
        # What was in force at a location, None without a route, and until when.
        self._former: dict[Location, list[_Entry]] = {}

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
        self._expire(now_ms)
        if not previous:
            return
        for location in previous.keys() | self._routes.keys():
            route = previous.get(location)
            if not _is_same_split(route, self._routes.get(location)):
                self._former.setdefault(location, []).append((route, now_ms))

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
        for location in list_locations(host, path):
            present = self._routes.get(location)
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

    def _expire(self, now_ms: float) -> None:
        since_ms = now_ms - 2 * global_settings.MAX_DEADLINE_MS
        kept = {
            location: [entry for entry in former if entry[1] > since_ms]
            for location, former in self._former.items()
        }
        self._former = {
            location: former for location, former in kept.items() if former
        }


def _is_same_split(route: Route | None, other: Route | None) -> bool:
    if route is None or other is None:
        return route is other
    return route.get_split() == other.get_split()


def _may_be_resumed(route: Route | None, age_ms: float) -> bool:
    """Return whether streams that began at a route so long ago may go on."""
    return route is not None and route.is_stream() and age_ms < route.timeout_ms


def _get_last_gap_ms(former: Iterable[_Entry]) -> float:
    """Return until when there was no route at a location."""
    return max(
        (until_ms for route, until_ms in former if route is None),
        default=-math.inf,
    )
