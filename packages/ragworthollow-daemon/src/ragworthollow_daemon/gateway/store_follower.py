"""Read the store for all that follow it."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.platform.stored import Stored
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.poll_pace import poll_forever


class Follower(Protocol):
    """Take what the store holds, or hear that it could not be read."""

    def take(self, found: Mapping[str, Stored], asked_ms: float) -> None:
        """Take all keys, asked for at `asked_ms`."""

    def note_lost(self, detail: str) -> None:
        """Hear that the store could not be read."""


class StoreFollower:
    """
    Read everything in one call, and hand it to each follower.

    The configuration, the instances and the members are a few hundred keys.
    Read one by one they are 4 calls a second and gateway, of which all are
    priced alike; together 1.7.  Beyond one page a read takes several calls.

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
        found = await self._context.store.read_prefix('')
        self._note_read(asked_ms, has_answered=not isinstance(found, Err))
        if isinstance(found, Err):
            for follower in self._followers:
                follower.note_lost(str(found.err_value))
            return False
        for follower in self._followers:
            follower.take(found.ok_value, asked_ms)
        return True

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
