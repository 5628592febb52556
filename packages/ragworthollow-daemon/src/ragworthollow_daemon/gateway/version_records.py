"""Record in the store which software versions the pools have had."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.logs.unreadable_records import UnreadableRecords
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put, compare_with
from ragworthollow.replica.latest_entries import LatestEntries
from ragworthollow.upstreams import PoolVersions, VersionRegistry
from ragworthollow.upstreams.longest_resume_times import (
    LongestResumeTimes,
)
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.shared_read import SharedRead

_PREFIX = 'pool-versions/'
_STEP = 'versions'


@dataclass(frozen=True, kw_only=True, slots=True)
class _OwnWrite:
    """Hold a record that this gateway has written and not read yet."""

    versions: PoolVersions
    replaced: StorePosition
    until_ms: float


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
        self._latest = LatestEntries()
        self._decoded: dict[str, PoolVersions] = {}
        self._unreadable = UnreadableRecords(
            event='pool_versions_unreadable', step=_STEP
        )
        # Own writes that were not read yet.
        self._written: dict[str, _OwnWrite] = {}
        self._resume_times = LongestResumeTimes()
        self._timeline = 0
        # Since when a change of a pool's record is due.
        self._due_ms: dict[str, float] = {}
        self._has_changed = asyncio.Event()
        self._shared_read = SharedRead(
            read=self._read,
            get_interval_ms=lambda: context.get_interval_ms(
                global_settings.RESUME_VERSION_READS_PER_S
            ),
        )

    def apply_entries(
        self, entries: Mapping[str, Stored], confirmed_ms: float
    ) -> None:
        """Apply the records, after the list of the same time."""
        stored = {
            key: entry
            for key, entry in entries.items()
            if key.startswith(_PREFIX)
        }
        directory = self._context.directory
        view = self._context.replica.view
        if view.timeline != self._timeline:
            self._timeline = view.timeline
            self._registry.retain(directory.recorded_versions)
            self._written.clear()
        self._merge(stored, view.get_position())
        self._registry.observe(
            directory.versions.list_current(directory.updated_ms),
            self._decoded,
            confirmed_ms,
        )
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
            resume_times_ms = self._resume_times.update(
                table.get_resume_times_ms(), get_monotonic_ms()
            )
            for pool, resume_time_ms in resume_times_ms.items():
                await self._update(pool, resume_time_ms)

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

    async def _read(self) -> bool:
        snapshot = await self._context.store.read_prefix(_PREFIX)
        if isinstance(snapshot, Err):
            self._report_failure('', str(snapshot.err_value))
            return False
        read = snapshot.ok_value
        if read.timeline != self._timeline:
            self._report_failure(
                '', 'the replica does not follow a restore yet'
            )
            return False
        self._merge(
            read.entries,
            StorePosition(timeline=read.timeline, revision=read.revision),
        )
        self._publish()
        return True

    def _merge(
        self, stored: Mapping[str, Stored], as_of: StorePosition
    ) -> None:
        """Decode changed records, and retain those that are lost."""
        changes = self._latest.merge(stored, as_of)
        for key in (*changes.written, *changes.removed):
            pool = key.removeprefix(_PREFIX)
            previous = self._decoded.pop(pool, None)
            versions = (
                self._decode(key, self._latest.get(key))
                if key in changes.written
                else None
            )
            if versions is not None:
                self._decoded[pool] = versions
            elif previous is not None:
                self._registry.retain({pool: previous})
        self._unreadable.end_list()

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
        previous = self._latest.get(key)
        written = await self._context.store.commit(
            compares=(compare_with(key, previous),),
            puts=(Put(key=key, text=msgspec.json.encode(change).decode()),),
        )
        if isinstance(written, Err):
            self._report_failure(pool, str(written.err_value))
            return
        if written.ok_value:
            self._written[pool] = _OwnWrite(
                versions=change,
                replaced=previous.get_position(),
                until_ms=now_ms + global_settings.VERSION_WRITE_UNREAD_MS,
            )
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
        now_ms = get_monotonic_ms()
        self._written = {
            pool: write
            for pool, write in self._written.items()
            if now_ms < write.until_ms
            and self._latest.get(f'{_PREFIX}{pool}').get_position()
            == write.replaced
        }
        own = {pool: write.versions for pool, write in self._written.items()}
        self._context.directory.recorded_versions = (
            self._registry.merge_retained({**self._decoded, **own})
        )

    def _decode(self, key: str, stored: Stored) -> PoolVersions | None:
        """Decode a record; None for one that another writer left."""
        try:
            versions = decode_json(stored.text, PoolVersions)
        except msgspec.DecodeError as error:
            self._unreadable.record(key, str(error))
            return None
        count = len(versions.list_all())
        if not 0 < count <= global_settings.MAX_POOL_VERSIONS:
            self._unreadable.record(key, f'{count} versions')
            return None
        return versions

    def _report_failure(self, pool: str, error: str) -> None:
        self._context.metrics.count_event('pool_versions_failed')
        log_event(
            'pool_versions_failed',
            step=_STEP,
            peer='store',
            pool=pool,
            error=error,
        )
