"""Read the store for all that follow it."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Protocol

from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.platform import PlatformError
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.stored import Stored
from ragworthollow.replica import FollowPaces, Replica, StoreNews
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.heard_news import HeardNews
from ragworthollow_daemon.gateway.poll_pace import get_retry_ms
from ragworthollow_daemon.gateway.store_reports import StoreReports

AskPeers = Callable[[StorePosition], Awaitable[Sequence[HeardNews]]]
_EVERYTHING = ''
_MILLISECONDS = 1000
_LEAST_PAUSE_MS = 1


class Follower(Protocol):
    """Take what the store holds, or hear that it could not be read."""

    def take(self, found: Mapping[str, Stored], asked_ms: float) -> None:
        """Take all keys, known to be the newest as of `asked_ms`."""

    def note_lost(self, detail: str) -> None:
        """Hear that the store could not be read."""


class StoreFollower:
    """
    Know what the store holds, and tell each follower.

    A gateway reads everything once, then what has changed, and only when the
    youngest evidence that it holds has grown too old: its own, or that of a
    gateway that it asks something anyhow.  So a few read for all, and one
    that hears from nobody, or whose readers die, freeze or lose the store,
    reads for itself within the same bound.

    Reading everything each time sends the configuration each time: 350 KB of
    1,400 routes take 560 ms of a link of 5 Mbit/s.  Changes alone are a few
    kilobytes.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    followers : sequence of Follower
        In the order in which they are told.
    replica : Replica
        The copy that is kept.
    paces : FollowPaces
        How old evidence may grow.
    get_place : callable
        Tells the place of this gateway among those that others ask, 0 first;
        None when nobody asks it.
    ask_peers : callable
        Asks other gateways when the store does not answer, and returns what
        they say.
    spread : float
        Part of the longest age by which this gateway reads sooner.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        followers: Sequence[Follower],
        replica: Replica,
        paces: FollowPaces,
        get_place: Callable[[], int | None],
        ask_peers: AskPeers,
        spread: float = 0,
    ) -> None:
        self._context = context
        self._followers = followers
        self._replica = replica
        self._paces = paces
        self._get_place = get_place
        self._ask_peers = ask_peers
        self._trust_ms = paces.trust_ms * (1 - spread)
        self._reread_ms = float('-inf')
        self._checked_ms = float('-inf')
        self._told_ms = float('-inf')
        self._reports = StoreReports(
            metrics=context.metrics,
            replica=replica,
        )
        # Timeline in which others were asked what they retain.
        self._compared_timeline = 0
        self._is_behind = asyncio.Event()

    async def run(self) -> None:
        """Keep the copy young until cancelled."""
        failures = 0
        while True:
            if failures:
                pause_ms = get_retry_ms(
                    failures,
                    self._paces.retry_longest_ms,
                )
                await asyncio.sleep(pause_ms / _MILLISECONDS)
            await self._wait_until_old()
            failures = 0 if await self.poll() else failures + 1

    async def poll(self) -> bool:
        """
        Read once; where the store does not answer, ask other gateways.

        Returns
        -------
        bool
            Whether the store answered.
        """
        self._is_behind.clear()
        asked_ms = get_boottime_ms()
        read = await self._read()
        self._reports.note_read(asked_ms, read)
        if isinstance(read, Err):
            if not await self._hear_peers():
                for follower in self._followers:
                    follower.note_lost(str(read.err_value))
            return False
        self._replica.evidence.note(asked_ms)
        self._tell()
        if self._replica.view.timeline != self._compared_timeline:
            self._compared_timeline = self._replica.view.timeline
            await self._hear_peers()
        return True

    def take_news(self, news: StoreNews, asked_ms: float) -> bool:
        """
        Take what another gateway tells of the store.

        Parameters
        ----------
        news : StoreNews
            What it told.
        asked_ms : float
            When it was asked, on the clock that counts suspended time.

        Returns
        -------
        bool
            Whether the evidence is younger than what was held.
        """
        effect = self._replica.take_news(news, asked_ms, get_boottime_ms())
        if effect.is_behind:
            self._is_behind.set()
        if effect.is_younger:
            self._context.metrics.count_event('store_heard')
            self._put_reread_off()
        if effect.has_changed or (
            effect.is_younger and self._is_time_to_tell()
        ):
            self._tell()
        return effect.is_younger

    async def _wait_until_old(self) -> None:
        """
        Wait until the evidence is too old, or the copy known to be behind.

        A gateway may be asked by others from one moment to the next, and may
        then let evidence grow less old than it did.
        """
        while not (self._is_behind.is_set() or self._is_restored()):
            age_ms = self._replica.evidence.get_age_ms(get_boottime_ms())
            left_ms = self._get_limit_ms() - age_ms
            if left_ms <= 0:
                return
            pause_ms = min(
                max(left_ms, _LEAST_PAUSE_MS),
                global_settings.HOST_PING_MS,
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_ms / _MILLISECONDS):
                    await self._is_behind.wait()

    def _is_restored(self) -> bool:
        """Tell whether the store was restored since the state that is held."""
        return self._context.store.timeline > self._replica.view.timeline

    def _get_limit_ms(self) -> float:
        place = self._get_place()
        if place is None:
            return self._trust_ms
        return self._paces.get_read_ms(place)

    async def _hear_peers(self) -> bool:
        """
        Ask other gateways, and tell whether they know of a younger state.

        The store may turn some gateways away while it answers others.
        """
        heard = await self._ask_peers(self._replica.view.get_position())
        is_younger = False
        for one in heard:
            is_younger |= self.take_news(one.news, one.asked_ms)
        return is_younger

    def _is_time_to_tell(self) -> bool:
        since_ms = get_boottime_ms() - self._told_ms
        return since_ms >= global_settings.FOLLOWERS_TOLD_MS

    def _tell(self) -> None:
        now_ms = get_boottime_ms()
        self._told_ms = now_ms
        age_ms = self._replica.evidence.get_age_ms(now_ms)
        proved_ms = get_monotonic_ms() - age_ms
        found = self._replica.get_found(now_ms)
        for follower in self._followers:
            follower.take(found, proved_ms)

    async def _read(self) -> Result[None, PlatformError]:
        now_ms = get_boottime_ms()
        if now_ms >= self._reread_ms:
            return await self._read_everything()
        changes = await self._context.store.read_changes(
            _EVERYTHING,
            after_revision=self._replica.view.revision,
            longest_bytes=max(
                self._replica.view.size_bytes,
                global_settings.STORE_CHANGES_LEAST_BYTES,
            ),
        )
        if isinstance(changes, Err):
            # A watch may be silent while the store answers reads; an instance
            # that leaves meanwhile would get work until the watch is back.
            self._reread_ms = now_ms
            return changes
        if changes.ok_value is None or not self._replica.apply(
            changes.ok_value,
        ):
            return await self._read_everything()
        if changes.ok_value.is_whole:
            return Ok(None)
        self._context.metrics.count_event('store_change_unheard')
        return await self._read_everything()

    async def _read_everything(self) -> Result[None, PlatformError]:
        began_ms = get_boottime_ms()
        snapshot = await self._context.store.read_prefix(_EVERYTHING)
        if isinstance(snapshot, Err):
            return snapshot
        now_ms = get_boottime_ms()
        if snapshot.ok_value.timeline < self._replica.view.timeline:
            return Err(self._reports.explain_older(snapshot.ok_value))
        held = self._replica.view.get_position()
        if self._replica.replace(snapshot.ok_value, now_ms):
            self._reports.note_restored(held)
            # Entries that it lost come back like those that lapse in an outage.
            for follower in self._followers:
                follower.note_lost('restored from a copy')
        self._context.metrics.count_event('store_read_whole')
        is_short = now_ms - began_ms <= global_settings.STORE_REREAD_LONGEST_MS
        self._checked_ms = now_ms
        self._reread_ms = (
            now_ms + global_settings.STORE_REREAD_MS
            if is_short
            else float('inf')
        )
        return Ok(None)

    def _put_reread_off(self) -> None:
        """
        Leave the check of the copy to the gateway whose evidence this is.

        Not for ever: what others say is compared with the store from time to
        time, since one that is wrong would be believed otherwise.
        """
        now_ms = get_boottime_ms()
        later_ms = min(
            now_ms + global_settings.STORE_REREAD_MS,
            self._checked_ms + global_settings.STORE_SELF_CHECK_MS,
        )
        self._reread_ms = max(self._reread_ms, later_ms)
