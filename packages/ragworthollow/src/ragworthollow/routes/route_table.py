"""Look up routes and API keys in one version of the configuration."""

from collections.abc import Collection, Iterable, Iterator, Mapping

from ragworthollow.routes.key_holder import KeyHolder
from ragworthollow.routes.priority_ranks import PriorityRanks
from ragworthollow.routes.request_limits import RequestLimits
from ragworthollow.routes.route import Route
from ragworthollow.routes.upstream_pool import UpstreamPool

# Host and path prefix of a route.
Location = tuple[str, str]


class RouteTable:
    """
    Hold one version of the routes, pools, API keys and limits.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : iterable of Route
        All routes.
    pools : mapping of str to UpstreamPool
        Pools by name.
    holders_by_key : mapping of str to KeyHolder
        Organisations by API key.
    requires_key : bool
        Whether routes that are not public require a known API key.
    limits : RequestLimits
        Limits on what callers may send.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route],
        pools: Mapping[str, UpstreamPool],
        holders_by_key: Mapping[str, KeyHolder],
        requires_key: bool,
        limits: RequestLimits,
    ) -> None:
        self.version = version
        self.pools = pools
        self.requires_key = requires_key
        self.limits = limits
        self._holders_by_key = holders_by_key
        self._routes: dict[Location, Route] = {}
        self._hosts: set[str] = set()
        self._resume_times_ms: dict[str, float] = {}
        self._resumable_routes: dict[str, set[str]] = {}
        priorities = set()
        for route in routes:
            self._routes[route.host, route.path_prefix] = route
            self._hosts.add(route.host)
            priorities.add(route.priority)
            self._add_resume_time(route)
        self._ranks = PriorityRanks(
            organisations={
                holder.priority for holder in holders_by_key.values()
            },
            routes=priorities,
        )

    def match(self, host: str, path: str) -> Route | None:
        """
        Return the route with the longest matching path prefix.

        The lookup takes one step per slash in the path, regardless of the
        number of routes.

        Parameters
        ----------
        host : str
            Host as the caller sent it, with or without a port.
        path : str
            Path without its query string.
        """
        if get_host_name(host) not in self._hosts:
            return None
        for location in list_locations(host, path):
            route = self._routes.get(location)
            if route is not None:
                return route
        return None

    def get_routes(self) -> Mapping[Location, Route]:
        """Return all routes by host and path prefix."""
        return self._routes

    def get_resume_times_ms(self) -> Mapping[str, float]:
        """
        Return for how long the streams of a pool may be resumed.

        Returns
        -------
        mapping of str to float
            Longest time limit in milliseconds of the routes whose streams may
            be resumed, by pool; pools without such a route are left out.
        """
        return self._resume_times_ms

    def get_resumable_routes(self) -> Mapping[str, Collection[str]]:
        """Return the names of resumable routes by pool."""
        return self._resumable_routes

    def get_rank(self, route: Route, holder: KeyHolder | None) -> int:
        """Return the rank of an organisation's requests of a route, 0 first."""
        organisation = None if holder is None else holder.priority
        return self._ranks.get(organisation, route.priority)

    def find_key_holder(self, key: str) -> KeyHolder | None:
        """Return the owner of an API key, or None for an unknown key."""
        return self._holders_by_key.get(key)

    def _add_resume_time(self, route: Route) -> None:
        if not (route.is_stream() and route.can_resume):
            return
        for weighted in route.weighted_pools:
            self._resume_times_ms[weighted.pool] = max(
                self._resume_times_ms.get(weighted.pool, 0), route.timeout_ms
            )
            self._resumable_routes.setdefault(weighted.pool, set()).add(
                route.name
            )


def list_locations(host: str, path: str) -> Iterator[Location]:
    """
    List where the route of a request may be, the longest prefix first.

    Parameters
    ----------
    host : str
        Host as the caller sent it, with or without a port.
    path : str
        Path without its query string.
    """
    name = get_host_name(host)
    end = path.rfind('/')
    while end >= 0:
        yield name, path[: end + 1]
        end = path.rfind('/', 0, end)


def get_host_name(host: str) -> str:
    """Return a host as routes have it: without a port, in lower case."""
    return host.partition(':')[0].lower()
