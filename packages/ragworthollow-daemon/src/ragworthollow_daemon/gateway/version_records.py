"""Record in the store which software versions the pools have had."""

import asyncio
from collections.abc import Mapping

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_error, log_event
from ragworthollow.platform import PlatformError
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put, compare_with
from ragworthollow.upstreams import PoolVersions, VersionRegistry
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.shared_read import SharedRead

_PREFIX = 'pool-versions/'
_STEP = 'versions'
_ABSENT = Stored()


class VersionRecords:
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
        self._context = context
        self._registry = VersionRegistry(
            propagation_ms=context.settings.leaving_bound_ms
        )
        self._stored: dict[str, Stored] = {}
        self._decoded: dict[str, PoolVersions] = {}
        # Own writes that the replica lacks, with the revision they replaced.
        self._written: dict[str, tuple[int, PoolVersions]] = {}
        self._timeline = 0
        # Since when a change of a pool's record is due.
        self._due_ms: dict[str, float] = {}
        self._has_changed = asyncio.Event()
        self._shared_read = SharedRead(
            read=self._read, get_interval_ms=context.get_read_interval_ms
        )

    def apply_entries(
        self, entries: Mapping[str, Stored], confirmed_ms: float
    ) -> None:
        """Apply the records, after the list of the same time."""
        stored = {
            key.removeprefix(_PREFIX): entry
            for key, entry in entries.items()
            if key.startswith(_PREFIX)
        }
        directory = self._context.directory
        self._decoded = self._decode(stored)
        self._stored = stored
        timeline = self._context.replica.view.timeline
        if timeline != self._timeline:
            self._timeline = timeline
            self._registry.retain(directory.recorded_versions)
            self._written.clear()
        self._registry.observe(
            directory.versions.list_current(directory.updated_ms),
            self._decoded,
            confirmed_ms,
        )
        self._written = {
            pool: (replaced, versions)
            for pool, (replaced, versions) in self._written.items()
            if stored.get(pool, _ABSENT).mod_revision == replaced
        }
        self._publish()
        self._has_changed.set()

    def handle_store_unavailable(self, detail: str) -> None:
        """Ignore an unavailable store; the last records stay in effect."""

    async def run(self) -> None:
        """Write changes of the records until cancelled."""
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            table = self._context.route_table
            if table is None:
                continue
            for pool, resume_time_ms in table.get_resume_times_ms().items():
                await self._update(pool, resume_time_ms)

    async def refresh(self) -> None:
        """Read the records from the store now."""
        await self._shared_read.run()

    async def _read(self) -> None:
        snapshot = await self._context.store.read_prefix(_PREFIX)
        if isinstance(snapshot, Err):
            self._report_failure('', snapshot.err_value)
            return
        for key, stored in snapshot.ok_value.entries.items():
            pool = key.removeprefix(_PREFIX)
            versions = _decode_record(pool, stored)
            if versions is not None:
                self._decoded[pool] = versions
                self._stored[pool] = stored
        self._publish()

    async def _update(self, pool: str, resume_time_ms: float) -> None:
        change = self._registry.find_change(
            pool, resume_time_ms + global_settings.VERSION_AFTERLIFE_MS
        )
        if change is None:
            self._due_ms.pop(pool, None)
            return
        key = f'{_PREFIX}{pool}'
        now_ms = get_monotonic_ms()
        due_ms = self._due_ms.setdefault(pool, now_ms)
        if pool in self._written:
            return
        senders = self._context.throttle.senders
        is_responsible = senders.is_ranked_first_once_listed(key)
        if not is_responsible and (
            now_ms - due_ms < global_settings.VERSION_TAKEOVER_MS
        ):
            return
        previous = self._stored.get(pool, _ABSENT)
        written = await self._context.store.commit(
            compares=(compare_with(key, previous),),
            puts=(Put(key=key, text=msgspec.json.encode(change).decode()),),
        )
        if isinstance(written, Err):
            self._report_failure(pool, written.err_value)
            return
        if written.ok_value:
            self._written[pool] = (previous.mod_revision, change)
            self._publish()
            self._context.metrics.count_event('pool_versions_recorded')
            log_event(
                'pool_versions_recorded',
                step=_STEP,
                pool=pool,
                settled=change.settled,
                announced=change.announced,
                previous=previous.text,
            )

    def _publish(self) -> None:
        """Set the versions by which streams begin and are resumed."""
        own = {pool: versions for pool, (_, versions) in self._written.items()}
        self._context.directory.recorded_versions = (
            self._registry.merge_retained({**self._decoded, **own})
        )

    def _decode(self, stored: Mapping[str, Stored]) -> dict[str, PoolVersions]:
        """Decode the records, reusing earlier results for unchanged ones."""
        previous = self._decoded
        recorded = {}
        for pool, entry in stored.items():
            if pool in previous and entry.is_same_write(
                self._stored.get(pool, _ABSENT)
            ):
                recorded[pool] = previous[pool]
                continue
            versions = _decode_record(pool, entry)
            if versions is not None:
                recorded[pool] = versions
        return recorded

    def _report_failure(self, pool: str, error: PlatformError) -> None:
        self._context.metrics.count_event('pool_versions_failed')
        log_event(
            'pool_versions_failed',
            step=_STEP,
            peer='store',
            pool=pool,
            error=str(error),
        )


def _decode_record(pool: str, stored: Stored) -> PoolVersions | None:
    """Decode a record; None for one that another writer left."""
    try:
        return decode_json(stored.text, PoolVersions)
    except msgspec.DecodeError as error:
        log_error(
            'pool_versions_unreadable',
            step=_STEP,
            peer=f'{_PREFIX}{pool}',
            error=str(error),
        )
        return None
