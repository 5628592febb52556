"""Keep in the store what outlasts the gateways that have observed it."""

import abc
import asyncio
from collections.abc import Collection, Mapping
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
from ragworthollow.routes import RouteTable
from ragworthollow.upstreams import PoolVersions, VersionRegistry
from ragworthollow.upstreams.longest_resume_times import (
    LongestResumeTimes,
)
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_STEP = 'versions'


@dataclass(frozen=True, kw_only=True, slots=True)
class _OwnWrite:
    """Hold a record that this gateway has written and not read yet."""

    versions: PoolVersions
    replaced: StorePosition
    until_ms: float


class RegistryRecords(abc.ABC):
    """
    Keep the recorded versions of each pool in step with those in force.

    What is a version and what is a pool, subclasses decide.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    registry : VersionRegistry
        Decides how the records change.
    name : str
        Name in log events and metrics.
    prefix : str
        Prefix of the keys in the store.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        registry: VersionRegistry,
        name: str,
        prefix: str,
    ) -> None:
        self._context = context
        self._registry = registry
        self._name = name
        self._prefix = prefix
        self._latest = LatestEntries()
        self._decoded: dict[str, PoolVersions] = {}
        # Decoded, retained and own records.
        self._known: Mapping[str, PoolVersions] = {}
        self._unreadable = UnreadableRecords(
            event=f'{name}_unreadable', step=_STEP
        )
        # Own writes that were not read yet.
        self._written: dict[str, _OwnWrite] = {}
        self._resume_times = LongestResumeTimes()
        self._timeline = 0
        # Since when a change of a pool's record is due.
        self._due_ms: dict[str, float] = {}
        self._has_changed = asyncio.Event()

    def apply_entries(
        self, entries: Mapping[str, Stored], confirmed_ms: float
    ) -> None:
        """Apply the records, after what else the store had at that time."""
        stored = {
            key: entry
            for key, entry in entries.items()
            if key.startswith(self._prefix)
        }
        view = self._context.replica.view
        if view.timeline != self._timeline:
            self._timeline = view.timeline
            self._registry.retain(self._known)
            self._written.clear()
        self._merge(stored, view.get_position())
        self._registry.observe(
            self._list_current(confirmed_ms), self._decoded, confirmed_ms
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
                self._get_resume_times_ms(table), get_monotonic_ms()
            )
            for pool, resume_time_ms in resume_times_ms.items():
                await self._update(pool, resume_time_ms)

    @abc.abstractmethod
    def _list_current(
        self, confirmed_ms: float
    ) -> Mapping[str, Collection[str]]:
        """Return the versions of each pool that are in force."""

    @abc.abstractmethod
    def _get_resume_times_ms(self, table: RouteTable) -> Mapping[str, float]:
        """Return for how long streams are resumed, by pool."""

    @abc.abstractmethod
    def _set_known(self, known: Mapping[str, PoolVersions]) -> None:
        """Set the records by which streams are resumed."""

    def _is_valid(self, versions: PoolVersions) -> bool:
        """Return whether a record may hold so many versions."""
        count = len(versions.list_all())
        return count <= global_settings.MAX_POOL_VERSIONS

    async def _read(self, prefix: str) -> bool:
        """Read records from the store, and return whether that succeeded."""
        snapshot = await self._context.store.read_prefix(prefix)
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
            prefix,
        )
        self._publish()
        return True

    def _merge(
        self,
        stored: Mapping[str, Stored],
        as_of: StorePosition,
        prefix: str = '',
    ) -> None:
        """Decode changed records, and retain those that are lost."""
        changes = self._latest.merge(stored, as_of, prefix)
        for key in (*changes.written, *changes.removed):
            pool = key.removeprefix(self._prefix)
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
        key = f'{self._prefix}{pool}'
        now_ms = get_monotonic_ms()
        due_ms = self._due_ms.setdefault(pool, now_ms)
        if pool in self._written:
            return
        if now_ms - due_ms < self._get_delay_ms(key):
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
            self._context.metrics.count_event(f'{self._name}_recorded')
            log_event(
                f'{self._name}_recorded',
                step=_STEP,
                pool=pool,
                settled=change.settled,
                announced=change.announced,
                previous=previous.text,
            )

    def _get_delay_ms(self, key: str) -> float:
        """Return for how long to leave a write to other gateways."""
        senders = self._context.throttle.senders
        if senders.is_ranked_first_once_listed(key):
            return 0
        if senders.is_among_first(
            key, global_settings.VERSION_TAKEOVER_WRITERS
        ):
            return global_settings.VERSION_TAKEOVER_MS
        return 2 * global_settings.VERSION_TAKEOVER_MS

    def _publish(self) -> None:
        """Set the versions by which streams begin and are resumed."""
        now_ms = get_monotonic_ms()
        self._written = {
            pool: write
            for pool, write in self._written.items()
            if now_ms < write.until_ms
            and self._latest.get(f'{self._prefix}{pool}').get_position()
            == write.replaced
        }
        own = {pool: write.versions for pool, write in self._written.items()}
        self._known = self._registry.merge_retained({**self._decoded, **own})
        self._set_known(self._known)

    def _decode(self, key: str, stored: Stored) -> PoolVersions | None:
        """Decode a record; None for one that another writer left."""
        try:
            versions = decode_json(stored.text, PoolVersions)
        except msgspec.DecodeError as error:
            self._unreadable.record(key, str(error))
            return None
        if not self._is_valid(versions):
            count = len(versions.list_all())
            self._unreadable.record(key, f'{count} versions')
            return None
        return versions

    def _report_failure(self, pool: str, error: str) -> None:
        self._context.metrics.count_event(f'{self._name}_failed')
        log_event(
            f'{self._name}_failed',
            step=_STEP,
            peer='store',
            pool=pool,
            error=error,
        )
