"""Record in the store in which pools the streams of routes have begun."""

from collections.abc import Collection, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.routes import RouteTable
from ragworthollow.upstreams import PoolVersions, VersionRegistry
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.registry_records import RegistryRecords
from ragworthollow_daemon.gateway.shared_read import SharedRead

_PREFIX = 'route-pools/'


class RouteRecords(RegistryRecords):
    """
    Keep the recorded splits of resumable routes in step with those in force.

    A record belongs to a location, which callers send and which stays when a
    route gets another name.  Its versions are the splits of the route there.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        super().__init__(
            context=context,
            registry=VersionRegistry(
                propagation_ms=context.settings.leaving_bound_ms,
                is_exclusive=True,
            ),
            name='route_pools',
            prefix=_PREFIX,
        )
        self._wanted: set[str] = set()
        self._last_reads = 1
        self._shared_read = SharedRead(
            read=self._read_wanted, get_interval_ms=self._get_interval_ms
        )

    async def refresh(self, location: str, limit_ms: float) -> bool:
        """
        Read the records of a location and of longer ones from the store now.

        Parameters
        ----------
        location : str
            The location.
        limit_ms : float
            Maximum wait in milliseconds.

        Returns
        -------
        bool
            Whether they were read in time.
        """
        if not _is_storable(location):
            return True
        self._wanted.add(location)
        return await self._shared_read.run(limit_ms)

    async def _read_wanted(self) -> bool:
        wanted = sorted(self._wanted)
        self._wanted.clear()
        self._last_reads = max(1, len(wanted))
        for location in wanted:
            if not await self._read(f'{_PREFIX}{location}'):
                return False
        return True

    def _get_interval_ms(self) -> float:
        return self._last_reads * self._context.get_read_interval_ms()

    def _list_current(
        self, confirmed_ms: float
    ) -> Mapping[str, Collection[str]]:
        table = self._context.route_table
        if table is None:
            return {}
        splits = table.get_resumable_splits()
        self._context.directory.route_splits.record(splits, confirmed_ms)
        return {
            location: (split,)
            for location, split in splits.items()
            if _is_storable(location)
        }

    def _get_resume_times_ms(self, table: RouteTable) -> Mapping[str, float]:
        # The time limit of a route that is gone is not known any more.
        gone = {
            location: global_settings.MAX_DEADLINE_MS
            for location, splits in self._known.items()
            if splits.list_all()
        }
        return {**gone, **table.get_split_times_ms()}

    def _set_known(self, known: Mapping[str, PoolVersions]) -> None:
        self._context.directory.route_splits.set_recorded(known)


def _is_storable(location: str) -> bool:
    """Return whether the store takes the key of a location's record."""
    size = len(f'{_PREFIX}{location}'.encode())
    return size <= global_settings.MAX_STORE_KEY_BYTES
