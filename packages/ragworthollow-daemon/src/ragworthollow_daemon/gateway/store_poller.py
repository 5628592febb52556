"""Poll the store, and notify subscribers of its state."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Protocol

from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.platform import PlatformError
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.stored import Stored
from ragworthollow.replica import PollIntervals, Replica, StoreUpdate
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.received_update import ReceivedUpdate
from ragworthollow_daemon.gateway.retry_delay import get_retry_delay_ms
from ragworthollow_daemon.gateway.store_reporter import StoreReporter

AskPeers = Callable[[StorePosition], Awaitable[Sequence[ReceivedUpdate]]]
_ALL_KEYS = ''
_MILLISECONDS = 1000
_MIN_PAUSE_MS = 1


class StoreSubscriber(Protocol):
    """Receive the state of the store, or that it could not be read."""

    def apply_entries(
        self, entries: Mapping[str, Stored], confirmed_ms: float
    ) -> None:
        """
        Apply all records, known to be current as of `confirmed_ms`.

        Parameters
        ----------
        entries : mapping of str to Stored
            All records by key.
        confirmed_ms : float
            Time of the confirmation, on the monotonic clock.
        """

    def handle_store_unavailable(self, detail: str) -> None:
        """Handle a failure to read the store."""


class StorePoller:
    """
    Keep the replica of the store fresh, and notify subscribers.

    A gateway reads all keys once and only the changes after that.  It polls
    only when its latest confirmation has become too stale.  Confirmations come
    from its own reads, or from peers that it contacts for other reasons.  So
    a few gateways poll on behalf of all.  A gateway that gets no updates, for
    example because the readers have died, are frozen or cannot reach the
    store, polls by itself within the same bound.

    Reading all keys each time would transfer the configuration each time:
    350 KB for 1,400 routes take 560 ms on a link of 5 Mbit/s.  Changes alone
    are a few kilobytes.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    subscribers : sequence of StoreSubscriber
        Subscribers, in the order in which they are notified.
    replica : Replica
        The replica to keep fresh.
    intervals : PollIntervals
        Limits of the replica's staleness.
    get_reader_rank : callable
        Returns the rank of this gateway among the readers of the store, 0 for
        the first; None if no peer relies on its reads.
    ask_peers : callable
        Requests updates from peers while the store does not answer, and
        returns them.
    jitter : float
        Share of the maximum staleness by which this gateway polls earlier.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        subscribers: Sequence[StoreSubscriber],
        replica: Replica,
        intervals: PollIntervals,
        get_reader_rank: Callable[[], int | None],
        ask_peers: AskPeers,
        jitter: float = 0,
    ) -> None:
        self._context = context
        self._subscribers = subscribers
        self._replica = replica
        self._intervals = intervals
        self._get_reader_rank = get_reader_rank
        self._ask_peers = ask_peers
        self._max_staleness_ms = intervals.max_staleness_ms * (1 - jitter)
        self._next_full_read_ms = float('-inf')
        self._last_full_read_ms = float('-inf')
        self._last_notified_ms = float('-inf')
        self._reporter = StoreReporter(
            metrics=context.metrics,
            replica=replica,
        )
        # Timeline for which peers were asked for the keys that they retain.
        self._synced_timeline = 0
        self._is_behind = asyncio.Event()

    async def run(self) -> None:
        """Keep the replica fresh until cancelled."""
        failures = 0
        while True:
            if failures:
                pause_ms = get_retry_delay_ms(
                    failures,
                    self._intervals.max_retry_ms,
                )
                await asyncio.sleep(pause_ms / _MILLISECONDS)
            await self._wait_until_stale()
            failures = 0 if await self.poll() else failures + 1

    async def poll(self) -> bool:
        """
        Read the store once; if it does not answer, ask peers for updates.

        Returns
        -------
        bool
            Whether the store answered.
        """
        self._is_behind.clear()
        sent_ms = get_boottime_ms()
        read = await self._read()
        self._reporter.record_read(sent_ms, read)
        if isinstance(read, Err):
            if not await self._fetch_peer_updates():
                for subscriber in self._subscribers:
                    subscriber.handle_store_unavailable(str(read.err_value))
            return False
        self._replica.freshness.record(sent_ms)
        self._notify()
        if self._replica.view.timeline != self._synced_timeline:
            self._synced_timeline = self._replica.view.timeline
            await self._fetch_peer_updates()
        return True

    def apply_update(self, update: StoreUpdate, sent_ms: float) -> bool:
        """
        Apply an update from a peer.

        Parameters
        ----------
        update : StoreUpdate
            The update.
        sent_ms : float
            When it was requested, on CLOCK_BOOTTIME.

        Returns
        -------
        bool
            Whether the replica is now fresher than before.
        """
        result = self._replica.apply_update(update, sent_ms, get_boottime_ms())
        if result.is_behind:
            self._is_behind.set()
        if result.is_fresher:
            self._context.metrics.count_event('store_heard')
            self._postpone_full_read()
        if result.has_changed or (
            result.is_fresher and self._is_notification_due()
        ):
            self._notify()
        return result.is_fresher

    async def _wait_until_stale(self) -> None:
        """
        Wait until the replica is too stale, or known to be behind.

        The limit is checked repeatedly, since it drops when this gateway
        becomes a reader for its peers.
        """
        while not (self._is_behind.is_set() or self._was_restored()):
            age_ms = self._replica.freshness.get_age_ms(get_boottime_ms())
            remaining_ms = self._get_max_staleness_ms() - age_ms
            if remaining_ms <= 0:
                return
            pause_ms = min(
                max(remaining_ms, _MIN_PAUSE_MS),
                global_settings.HOST_PING_MS,
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_ms / _MILLISECONDS):
                    await self._is_behind.wait()

    def _was_restored(self) -> bool:
        """Return whether the store was restored since the replica's state."""
        return self._context.store.timeline > self._replica.view.timeline

    def _get_max_staleness_ms(self) -> float:
        rank = self._get_reader_rank()
        if rank is None:
            return self._max_staleness_ms
        return self._intervals.get_reader_staleness_ms(rank)

    async def _fetch_peer_updates(self) -> bool:
        """
        Apply updates from peers; return whether the replica is now fresher.

        The store may refuse some gateways while it answers others.
        """
        updates = await self._ask_peers(self._replica.view.get_position())
        is_fresher = False
        for update in updates:
            is_fresher |= self.apply_update(update.update, update.sent_ms)
        return is_fresher

    def _is_notification_due(self) -> bool:
        since_ms = get_boottime_ms() - self._last_notified_ms
        return since_ms >= global_settings.SUBSCRIBER_NOTIFY_INTERVAL_MS

    def _notify(self) -> None:
        now_ms = get_boottime_ms()
        self._last_notified_ms = now_ms
        age_ms = self._replica.freshness.get_age_ms(now_ms)
        confirmed_ms = get_monotonic_ms() - age_ms
        entries = self._replica.get_entries(now_ms)
        for subscriber in self._subscribers:
            subscriber.apply_entries(entries, confirmed_ms)

    async def _read(self) -> Result[None, PlatformError]:
        now_ms = get_boottime_ms()
        if now_ms >= self._next_full_read_ms:
            return await self._read_all_keys()
        changes = await self._context.store.read_changes(
            _ALL_KEYS,
            after_revision=self._replica.view.revision,
            max_bytes=max(
                self._replica.view.size_bytes,
                global_settings.MIN_STORE_CHANGES_BYTES,
            ),
        )
        if isinstance(changes, Err):
            # A watch may stall while the store still answers reads.  Without a
            # full read, an instance that shuts down in the meantime would get
            # work until the watch recovers.
            self._next_full_read_ms = now_ms
            return changes
        if changes.ok_value is None or not self._replica.apply(
            changes.ok_value,
        ):
            return await self._read_all_keys()
        if changes.ok_value.is_complete:
            return Ok(None)
        self._context.metrics.count_event('store_change_unheard')
        return await self._read_all_keys()

    async def _read_all_keys(self) -> Result[None, PlatformError]:
        began_ms = get_boottime_ms()
        snapshot = await self._context.store.read_prefix(_ALL_KEYS)
        if isinstance(snapshot, Err):
            return snapshot
        now_ms = get_boottime_ms()
        if snapshot.ok_value.timeline < self._replica.view.timeline:
            return Err(self._reporter.make_stale_read_error(snapshot.ok_value))
        previous = self._replica.view.get_position()
        if self._replica.replace(snapshot.ok_value, now_ms):
            self._reporter.record_restore(previous)
            # Lost records are written again, like records that have expired
            # during an outage.
            for subscriber in self._subscribers:
                subscriber.handle_store_unavailable('restored from a copy')
        self._context.metrics.count_event('store_read_whole')
        is_short = now_ms - began_ms <= global_settings.MAX_STORE_REREAD_MS
        self._last_full_read_ms = now_ms
        self._next_full_read_ms = (
            now_ms + global_settings.STORE_REREAD_MS
            if is_short
            else float('inf')
        )
        return Ok(None)

    def _postpone_full_read(self) -> None:
        """
        Rely on the full reads of the peer that confirmed the replica.

        The delay is limited: the replica is still compared with the store from
        time to time, since wrong updates from a peer would never be detected
        otherwise.
        """
        now_ms = get_boottime_ms()
        later_ms = min(
            now_ms + global_settings.STORE_REREAD_MS,
            self._last_full_read_ms + global_settings.STORE_SELF_CHECK_MS,
        )
        self._next_full_read_ms = max(self._next_full_read_ms, later_ms)
