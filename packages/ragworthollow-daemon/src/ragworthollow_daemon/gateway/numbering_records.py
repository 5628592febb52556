"""Record in the store how the events of streams are numbered."""

import asyncio
from collections.abc import Collection, Mapping

import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.logs.unreadable_records import UnreadableRecords
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put, compare_with
from ragworthollow.upstreams import PoolNumberings, PoolVersions
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_PREFIX = 'event-numberings/'
_STEP = 'numberings'
_ABSENT = Stored()
_NO_NUMBERINGS = PoolNumberings()
_NO_VERSIONS = PoolVersions()
_MILLISECONDS = 1000


class NumberingRecords:
    """
    Share with all gateways which software numbers events without gaps.

    A gateway that has just started would otherwise take a missing event for a
    number that the software leaves out, until it has relayed a whole stream.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._stored: Mapping[str, Stored] = {}
        self._decoded: dict[str, PoolNumberings] = {}
        self._unreadable = UnreadableRecords(
            event='event_numberings_unreadable', step=_STEP
        )
        # When a record was written that the replica may not show yet.
        self._written_ms: dict[str, float] = {}
        # When this gateway may write a record that lacks something.
        self._due_ms: dict[str, float] = {}
        self._has_changed = asyncio.Event()
        context.directory.event_numberings.on_learnt = self._has_changed.set

    def apply_entries(
        self, _entries: Mapping[str, Stored], confirmed_ms: float
    ) -> None:
        """Apply the records, after those of the versions."""
        # Not those retained after a restoration: what the store has lost is
        # written again at once.
        entries = self._context.replica.view.entries
        self._set_records(
            {
                key.removeprefix(_PREFIX): entry
                for key, entry in entries.items()
                if key.startswith(_PREFIX)
            }
        )
        self._written_ms = {
            pool: written_ms
            for pool, written_ms in self._written_ms.items()
            if written_ms > confirmed_ms
        }
        self._has_changed.set()

    def handle_store_unavailable(self, detail: str) -> None:
        """Ignore an unavailable store; what was learnt stays known."""

    async def run(self) -> None:
        """Write what the records lack until cancelled."""
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            table = self._context.route_table
            if table is None:
                continue
            for pool, routes in table.get_resumable_routes().items():
                await self._update(pool, routes)

    def _set_records(self, stored: Mapping[str, Stored]) -> None:
        """Decode changed records, and add what they tell to what is known."""
        decoded = dict(self._decoded)
        for changed, entry in stored.items():
            previous = self._stored.get(changed)
            if previous is None or not entry.is_same_write(previous):
                decoded[changed] = self._decode(changed, entry)
                self._context.directory.event_numberings.merge(decoded[changed])
        self._unreadable.end_list()
        self._decoded = {pool: decoded[pool] for pool in stored}
        self._stored = stored

    async def _update(self, pool: str, routes: Collection[str]) -> None:
        change = self._find_change(pool, routes)
        if change is None:
            self._due_ms.pop(pool, None)
            return
        now_ms = get_monotonic_ms()
        key = f'{_PREFIX}{pool}'
        if pool not in self._due_ms:
            self._due_ms[pool] = now_ms + self._get_delay_ms(key)
        if pool in self._written_ms or now_ms < self._due_ms[pool]:
            return
        previous = self._stored.get(pool, _ABSENT)
        written = await self._context.store.commit(
            compares=(compare_with(key, previous),),
            puts=(Put(key=key, text=msgspec.json.encode(change).decode()),),
        )
        self._written_ms[pool] = get_monotonic_ms()
        if isinstance(written, Err):
            self._context.metrics.count_event('event_numberings_failed')
            log_event(
                'event_numberings_failed',
                step=_STEP,
                peer='store',
                pool=pool,
                error=str(written.err_value),
            )
            return
        if written.ok_value:
            self._context.metrics.count_event('event_numberings_recorded')
            log_event(
                'event_numberings_recorded',
                step=_STEP,
                pool=pool,
                versions=change.versions,
                previous=previous.text,
            )

    def _find_change(
        self, pool: str, routes: Collection[str]
    ) -> PoolNumberings | None:
        directory = self._context.directory
        versions = directory.recorded_versions.get(pool, _NO_VERSIONS)
        return directory.event_numberings.find_change(
            self._decoded.get(pool, _NO_NUMBERINGS),
            routes,
            versions.list_all(),
        )

    def _get_delay_ms(self, key: str) -> float:
        """Return for how long to leave a write to other gateways."""
        if self._context.throttle.senders.is_among_first(
            key, global_settings.EVENT_NUMBERING_FIRST_WRITERS
        ):
            return 0
        interval_ms = (
            self._context.members
            * _MILLISECONDS
            / global_settings.EVENT_NUMBERING_WRITES_PER_S
        )
        spread_ms = 2 * interval_ms * self._context.rng.random()
        return self._context.settings.leaving_bound_ms + spread_ms

    def _decode(self, pool: str, stored: Stored) -> PoolNumberings:
        """Decode a record; an empty one for one that another writer left."""
        try:
            numberings = decode_json(stored.text, PoolNumberings)
        except msgspec.DecodeError as error:
            self._unreadable.record(f'{_PREFIX}{pool}', str(error))
            return _NO_NUMBERINGS
        count = numberings.count()
        if count > global_settings.MAX_EVENT_NUMBERINGS:
            self._unreadable.record(f'{_PREFIX}{pool}', f'{count} numberings')
            return _NO_NUMBERINGS
        return numberings
