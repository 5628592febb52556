"""Record in the store what began streams."""

import asyncio
from collections.abc import Mapping

import msgspec
from result import Err, Result

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.logs.unreadable_records import UnreadableRecords
from ragworthollow.platform import PlatformError
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.stored import Stored
from ragworthollow.platform.transaction import Put
from ragworthollow.replica.latest_entries import LatestEntries
from ragworthollow.upstreams import StreamOrigin, StreamSegment
from ragworthollow.upstreams.stream_segment import AttemptsByVersion
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.shared_read import SharedRead

_PREFIX = 'streams/'
_STEP = 'resume'
_MILLISECONDS = 1000


class StreamRecords:
    """
    Write what began streams while their pool has several versions.

    The records of a gateway would be lost with it, and its streams could not
    be resumed until all other versions have been gone for long enough.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._latest = LatestEntries()
        self._unreadable = UnreadableRecords(
            event='stream_segment_unreadable', step=_STEP
        )
        self._number = 0
        self._lease = 0
        self._opened_ms = float('-inf')
        self._streams: dict[str, StreamOrigin] = {}
        self._is_dirty = False
        self._shared_read = SharedRead(
            read=self._read_segments,
            get_interval_ms=lambda: context.get_interval_ms(
                global_settings.RESUME_STREAM_READS_PER_S
            ),
        )

    def apply_entries(
        self, entries: Mapping[str, Stored], _confirmed_ms: float
    ) -> None:
        """Apply the segments of all gateways."""
        segments = {
            key: stored
            for key, stored in entries.items()
            if key.startswith(_PREFIX)
        }
        self._merge(segments, self._context.replica.view.get_position())

    def handle_store_unavailable(self, detail: str) -> None:
        """Ignore an unavailable store; the last records stay in effect."""

    async def run(self) -> None:
        """Write segments until cancelled."""
        while True:
            await asyncio.sleep(self._get_interval_ms() / _MILLISECONDS)
            await self.write()

    async def write(self) -> None:
        """Write the streams that the store does not have yet."""
        pools = {
            pool
            for pool, versions in (
                self._context.directory.recorded_versions.items()
            )
            if len(versions.list_all()) > 1
        }
        if not pools:
            return
        now_ms = get_monotonic_ms()
        if self._is_expired(now_ms) or not (
            self._is_dirty or self._has_space()
        ):
            self._open_segment(now_ms)
        if self._has_space():
            taken = self._context.directory.stream_versions.take_unrecorded(
                pools, self._get_limit(), now_ms
            )
            self._streams.update(taken)
            self._is_dirty = self._is_dirty or bool(taken)
        if self._is_dirty:
            self._is_dirty = not await self._write_segment()

    async def refresh(self, limit_ms: float) -> None:
        """
        Read the segments from the store now.

        The replica may lack what a gateway wrote shortly before it ended.

        Parameters
        ----------
        limit_ms : float
            Maximum wait in milliseconds.
        """
        await self._shared_read.run(limit_ms)

    async def _read_segments(self) -> bool:
        snapshot = await self._context.store.read_prefix(_PREFIX)
        if isinstance(snapshot, Err):
            self._report_failure(snapshot.err_value)
            return False
        read = snapshot.ok_value
        self._merge(
            read.entries,
            StorePosition(timeline=read.timeline, revision=read.revision),
        )
        return True

    def _merge(
        self, segments: Mapping[str, Stored], as_of: StorePosition
    ) -> None:
        changes = self._latest.merge(segments, as_of)
        for removed in changes.removed:
            self._context.directory.recorded_streams.remove(removed)
        for key in changes.written:
            self._apply_segment(key, segments[key])
        self._unreadable.end_list()

    def _apply_segment(self, key: str, stored: Stored) -> None:
        try:
            segment = decode_json(stored.text, StreamSegment)
        except msgspec.DecodeError as error:
            self._context.directory.recorded_streams.remove(key)
            self._unreadable.record(key, str(error))
            return
        writer, _, _ = key.removeprefix(_PREFIX).partition('/')
        self._context.directory.recorded_streams.set(key, writer, segment)

    def _has_space(self) -> bool:
        return len(self._streams) < global_settings.STREAM_SEGMENT_SIZE

    def _is_expired(self, now_ms: float) -> bool:
        age_ms = now_ms - self._opened_ms
        return age_ms >= global_settings.STREAM_SEGMENT_OPEN_MS

    def _open_segment(self, now_ms: float) -> None:
        """Begin a segment; it keeps the streams of one that was not written."""
        self._number += 1
        self._lease = 0
        self._opened_ms = now_ms
        if not self._is_dirty:
            self._streams = {}

    async def _write_segment(self) -> bool:
        """Write the open segment, and return whether that succeeded."""
        if not self._lease:
            granted = await self._context.store.grant_lease(
                self._get_lease_ms()
            )
            if isinstance(granted, Err):
                return self._check(granted)
            self._lease = granted.ok_value
        segment = Put(
            key=f'{_PREFIX}{self._context.incarnation}/{self._number}',
            text=msgspec.json.encode(_make_segment(self._streams)).decode(),
            lease=self._lease,
        )
        return self._check(
            await self._context.store.commit(compares=(), puts=(segment,))
        )

    def _check(self, written: Result[object, PlatformError]) -> bool:
        if isinstance(written, Err):
            # The lease may be what the store no longer knows.
            self._lease = 0
            self._report_failure(written.err_value)
            return False
        self._context.metrics.count_event('stream_segment_written')
        return True

    def _report_failure(self, error: PlatformError) -> None:
        self._context.metrics.count_event('stream_segment_failed')
        log_event(
            'stream_segment_failed',
            step=_STEP,
            peer='store',
            error=str(error),
        )

    def _get_interval_ms(self) -> float:
        return max(
            global_settings.STREAM_SEGMENT_MIN_INTERVAL_MS,
            self._context.members
            * _MILLISECONDS
            / global_settings.STREAM_SEGMENT_WRITES_PER_S,
        )

    def _get_limit(self) -> int:
        """Return how many streams one write may add."""
        share_per_s = (
            global_settings.STREAM_SEGMENT_STREAMS_PER_S / self._context.members
        )
        return max(
            1, int(share_per_s * self._get_interval_ms() / _MILLISECONDS)
        )

    def _get_lease_ms(self) -> int:
        """Return how long a segment is needed after it was opened."""
        table = self._context.route_table
        resume_times_ms = {} if table is None else table.get_resume_times_ms()
        needed_ms = (
            max(resume_times_ms.values(), default=0)
            + self._context.settings.leaving_bound_ms
            + global_settings.STREAM_SEGMENT_OPEN_MS
        )
        return int(min(needed_ms, global_settings.MAX_LEASE_MS))


def _make_segment(streams: Mapping[str, StreamOrigin]) -> StreamSegment:
    pools: dict[str, AttemptsByVersion] = {}
    uncertain = []
    for request_id, origin in streams.items():
        version = origin.software_version
        if version is None:
            uncertain.append(request_id)
        else:
            by_version = pools.setdefault(origin.pool, {})
            by_version.setdefault(version, []).append(request_id)
    return StreamSegment(pools=pools, uncertain=uncertain)
