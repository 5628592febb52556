"""Look routes and keys up in one version of the configuration."""

from collections.abc import Iterable, Mapping

from ragworthollow.routes.key_holder import KeyHolder
from ragworthollow.routes.request_limits import RequestLimits
from ragworthollow.routes.route import Route
from ragworthollow.routes.upstream_pool import UpstreamPool


class RouteTable:
    """
    Hold one version of routes, pools, keys and limits.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : iterable of Route
        All routes.
    pools : mapping of str to UpstreamPool
        Pools by name.
    holders_by_key : mapping of str to KeyHolder
        Organisations by their keys.
    requires_key : bool
        Whether routes that are not public need a known key.
    limits : RequestLimits
        What callers may send.
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
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """
        Return the route with the longest prefix that begins a path.

        The lookup costs one step for each slash of the path, whatever the
        number of routes.

        Parameters
        ----------
        host : str
            As the caller wrote it, with or without a port.
        path : str
            Path without its query.
        """
        by_prefix = self._by_host.get(host.partition(':')[0].lower())
        if by_prefix is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def identify(self, key: str) -> KeyHolder | None:
        """Return who holds a key, or None for an unknown one."""
        return self._holders_by_key.get(key)
