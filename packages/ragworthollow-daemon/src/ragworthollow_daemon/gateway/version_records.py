"""Record in the store which software versions the pools have had."""

from collections.abc import Collection, Mapping
from functools import partial

from ragworthollow.routes import RouteTable
from ragworthollow.upstreams import PoolVersions, VersionRegistry
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.registry_records import RegistryRecords
from ragworthollow_daemon.gateway.shared_read import SharedRead

_PREFIX = 'pool-versions/'


class VersionRecords(RegistryRecords):
    """
    Keep the recorded versions of each pool in step with the list.

    A gateway knows only what it has seen itself.  One that has just started
    would take a pool for one of a single version although streams of another
    one, which has left the list since, are still resumed.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        super().__init__(
            context=context,
            registry=VersionRegistry(
                propagation_ms=context.settings.leaving_bound_ms
            ),
            name='pool_versions',
            prefix=_PREFIX,
        )
        self._shared_read = SharedRead(
            read=partial(self._read, _PREFIX),
            get_interval_ms=context.get_read_interval_ms,
        )

    async def refresh(self, limit_ms: float) -> bool:
        """
        Read the records from the store now.

        Parameters
        ----------
        limit_ms : float
            Maximum wait in milliseconds.

        Returns
        -------
        bool
            Whether they were read in time.
        """
        return await self._shared_read.run(limit_ms)

    def _list_current(
        self, confirmed_ms: float
    ) -> Mapping[str, Collection[str]]:
        directory = self._context.directory
        return directory.versions.list_current(directory.updated_ms)

    def _get_resume_times_ms(self, table: RouteTable) -> Mapping[str, float]:
        return table.get_resume_times_ms()

    def _set_known(self, known: Mapping[str, PoolVersions]) -> None:
        self._context.directory.recorded_versions = known

    def _is_valid(self, versions: PoolVersions) -> bool:
        return bool(versions.list_all()) and super()._is_valid(versions)
