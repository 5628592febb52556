"""Read the store for all that follow it."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.platform import PlatformError
from ragworthollow.platform.stored import Stored
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.poll_pace import poll_forever
from ragworthollow_daemon.gateway.store_view import StoreView

_EVERYTHING = ''


class Follower(Protocol):
    """Take what the store holds, or hear that it could not be read."""

    def take(self, found: Mapping[str, Stored], asked_ms: float) -> None:
        """Take all keys, asked for at `asked_ms`."""

    def note_lost(self, detail: str) -> None:
        """Hear that the store could not be read."""


class StoreFollower:
    """
    Read everything once, then what has changed, and tell each follower.

    The configuration, the instances and the members are a few hundred keys.
    Read one by one they are 4 calls a second and gateway, of which all are
    priced alike; together 1.7.

    Reading everything each time sends the configuration each time: 350 KB of
    1,400 routes take 560 ms of a link of 5 Mbit/s, every 600 ms.  Changes
    alone are a few kilobytes.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    followers : sequence of Follower
        In the order in which they are told.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        followers: Sequence[Follower],
    ) -> None:
        self._context = context
        self._followers = followers
        self._view = StoreView()
        self._reread_ms = float('-inf')

    async def run(self) -> None:
        """Poll until cancelled."""
        await poll_forever(self.poll, global_settings.STORE_POLL_MS)

    async def poll(self) -> bool:
        """
        Read once.

        Returns
        -------
        bool
            Whether the store answered.
        """
        asked_ms = get_monotonic_ms()
        read = await self._read(asked_ms)
        self._note_read(asked_ms, has_answered=not isinstance(read, Err))
        if isinstance(read, Err):
            for follower in self._followers:
                follower.note_lost(str(read.err_value))
            return False
        for follower in self._followers:
            follower.take(self._view.found, asked_ms)
        return True

    async def _read(self, now_ms: float) -> Result[None, PlatformError]:
        if now_ms >= self._reread_ms:
            return await self._read_everything()
        changes = await self._context.store.read_changes(
            _EVERYTHING,
            after_revision=self._view.revision,
            longest_bytes=max(
                self._view.size_bytes,
                global_settings.STORE_CHANGES_LEAST_BYTES,
            ),
        )
        if isinstance(changes, Err):
            # A watch may be silent while the store answers reads; an instance
            # that leaves meanwhile would get work until the watch is back.
            self._reread_ms = now_ms
            return changes
        if changes.ok_value is None:
            return await self._read_everything()
        self._view.apply(changes.ok_value)
        if changes.ok_value.is_whole:
            return Ok(None)
        self._context.metrics.count_event('store_change_unheard')
        return await self._read_everything()

    async def _read_everything(self) -> Result[None, PlatformError]:
        began_ms = get_monotonic_ms()
        snapshot = await self._context.store.read_prefix(_EVERYTHING)
        if isinstance(snapshot, Err):
            return snapshot
        now_ms = get_monotonic_ms()
        self._view.replace(snapshot.ok_value)
        self._context.metrics.count_event('store_read_whole')
        is_short = now_ms - began_ms <= global_settings.STORE_REREAD_LONGEST_MS
        self._reread_ms = (
            now_ms + global_settings.STORE_REREAD_MS
            if is_short
            else float('inf')
        )
        return Ok(None)

    def _note_read(self, asked_ms: float, *, has_answered: bool) -> None:
        """
        Count a read, and how long it took.

        The log names the first read that is lost; these tell whether all
        later ones are lost too, and how near to it the good ones come.
        """
        metrics = self._context.metrics
        took_ms = get_monotonic_ms() - asked_ms
        if not has_answered:
            metrics.count_event('store_read_lost')
            return
        metrics.count_event('store_read')
        metrics.set_state('store_read_ms', took_ms)
