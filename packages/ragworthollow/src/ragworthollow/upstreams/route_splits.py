"""Track in which pools the streams of routes may have begun."""

from collections.abc import Collection, Iterator, Mapping

from ragworthollow.routes.route import Route
from ragworthollow.routes.route_split import decode_split, encode_split
from ragworthollow.upstreams.pool_versions import PoolVersions
from ragworthollow.upstreams.version_history import VersionHistory

_NO_SPLITS = PoolVersions()


class RouteSplits:
    """
    Track the splits of resumable routes, by location.

    Attributes
    ----------
    uncertain_pools : frozenset of str
        Pools of routes whose streams may have begun in another pool.
    """

    def __init__(self) -> None:
        self._history = VersionHistory()
        self._recorded: Mapping[str, PoolVersions] = {}
        self.uncertain_pools: frozenset[str] = frozenset()

    def record(self, splits: Mapping[str, str], now_ms: float) -> None:
        """Record the splits of a configuration that is in force."""
        self._history.record_pairs(splits.items(), now_ms)

    def set_recorded(self, recorded: Mapping[str, PoolVersions]) -> None:
        """Set what the gateways have recorded in the store."""
        self._recorded = recorded
        self.uncertain_pools = frozenset().union(
            *(
                _list_all_pools(splits.list_all(), '')
                for splits in recorded.values()
                if splits.announced or len(splits.settled) > 1
            )
        )

    def find_pools(
        self, route: Route, path: str, request_id: str, since_ms: float
    ) -> frozenset[str]:
        """
        Return the pools in which a stream may have begun.

        Parameters
        ----------
        route : Route
            Route that its caller's path matches now.
        path : str
            That path.
        request_id : str
            Caller's attempt that began the stream; empty if it is not known.
        since_ms : float
            Time at which the stream may have begun, on the monotonic clock.
        """
        location = route.get_location()
        splits = {
            encode_split(route.make_split()),
            *self._history.get_last_listed_ms(location, since_ms),
        }
        for longer in (location, *_list_longer(route, path)):
            splits |= self._recorded.get(longer, _NO_SPLITS).list_all()
        return _list_all_pools(splits, request_id)

    def is_known_since(
        self, route: Route, since_ms: float, observed_ms: float
    ) -> bool:
        """
        Return whether the route is known to have existed at a time.

        Before that its callers' paths may have matched another route.

        Parameters
        ----------
        route : Route
            The route.
        since_ms : float
            The time, on the monotonic clock.
        observed_ms : float
            Time from which on this gateway has missed no configuration.
        """
        location = route.get_location()
        recorded = self._recorded.get(location)
        if recorded is not None:
            return bool(recorded.settled)
        is_listed = bool(self._history.list_settled(location, since_ms))
        return is_listed and observed_ms <= since_ms

    def get_recorded(self, route: Route) -> Collection[str]:
        """Return the recorded splits of a route."""
        return self._recorded.get(route.get_location(), _NO_SPLITS).list_all()


def _list_longer(route: Route, path: str) -> Iterator[str]:
    """Return locations that a path would match before that of its route."""
    for position, character in enumerate(path):
        if character == '/' and position >= len(route.path_prefix):
            yield f'{route.host}{path[: position + 1]}'


def _list_all_pools(texts: Collection[str], request_id: str) -> frozenset[str]:
    """Return the pools of encoded splits, an unknown one for an odd text."""
    pools: set[str] = set()
    for text in texts:
        split = decode_split(text)
        pools |= {''} if split is None else split.list_pools(request_id)
    return frozenset(pools)
