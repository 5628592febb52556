"""Keep a process at the newest configuration."""

import asyncio
import itertools
from collections.abc import Callable

import aiohttp
import msgspec
from result import Err, Ok

from ragworthollow.conf import global_settings
from ragworthollow.configuration.keys import MANIFEST_KEY
from ragworthollow.configuration.reader import read_newer
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.configuration.store import (
    ConfigurationStore,
    decode_manifest,
)
from ragworthollow.logs.events import log_event
from ragworthollow.membership.peer_directory import PeerDirectory
from ragworthollow.platform import StoreClient
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.transport.timeouts import make_silence_timeout

_MILLISECONDS = 1000
_NO_CONTENT = 204
_UNREACHABLE = (
    aiohttp.ClientError,
    TimeoutError,
    msgspec.DecodeError,
    OSError,
)


class Follower:
    """
    Learn of new generations.

    Two processes of each failure domain watch the platform, so that the
    number of waiting watches does not grow with the fleet.  All others hold
    a waiting request at one of them, and turn to the next one or to any peer
    when it is silent: a watcher that is frozen delays a change by one
    timeout.

    Parameters
    ----------
    key_value : StoreClient
        The platform's service.
    store : ConfigurationStore
        What is in force here.
    peers : PeerDirectory
        Who else runs.
    session : aiohttp.ClientSession
        Authenticated session to peers.
    count_event : callable
        Counts an event by its name.
    """

    def __init__(
        self,
        *,
        key_value: StoreClient,
        store: ConfigurationStore,
        peers: PeerDirectory,
        session: aiohttp.ClientSession,
        count_event: Callable[[str], None],
    ) -> None:
        self._key_value = key_value
        self._store = store
        self._peers = peers
        self._session = session
        self._count_event = count_event
        self._turns = itertools.count()

    async def start(self) -> None:
        """
        Take the newest generation that peers hold, then the platform's.

        Peers come first: they answer also while the platform is down, and
        spare it the files.
        """
        asked = [
            *self._peers.get_own_watchers(),
            *self._peers.sample(global_settings.CONFIGURATION_PEERS_ASKED),
        ]
        for peer in asked:
            await self.pull(peer.address, wait_ms=0)
        await self._read_platform()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._peers.is_watcher():
                await self._watch_platform()
                await self._pull_from_next(wait_ms=0)
                await asyncio.sleep(
                    global_settings.CONFIGURATION_RETRY_MS / _MILLISECONDS,
                )
            else:
                await self._pull_from_next(
                    wait_ms=global_settings.CONFIGURATION_WAIT_MS,
                )

    async def pull(self, address: str, *, wait_ms: int) -> bool:
        """
        Ask one peer for something newer.

        Parameters
        ----------
        address : str
            `IP:PORT` of the peer.
        wait_ms : int
            How long the peer may hold the question while it has nothing.

        Returns
        -------
        bool
            Whether the peer answered.
        """
        try:
            snapshot = await self._ask(address, wait_ms)
        except _UNREACHABLE as error:
            log_event(
                'configuration_peer_unreachable',
                step='configuration',
                peer=address,
                error=type(error).__name__,
            )
            return False
        if snapshot is not None:
            await self._take(snapshot)
        return True

    async def _ask(
        self,
        address: str,
        wait_ms: int,
    ) -> Snapshot | None:
        async with self._session.get(
            f'http://{address}/v1/configuration',
            params={'have': self._store.generation, 'wait_ms': wait_ms},
            timeout=make_silence_timeout(
                global_settings.CONFIGURATION_PEER_TIMEOUT_MS,
                wait_ms,
            ),
            raise_for_status=True,
        ) as response:
            if response.status == _NO_CONTENT:
                return None
            return msgspec.json.decode(await response.read(), type=Snapshot)

    async def _take(self, snapshot: Snapshot) -> None:
        applied = self._store.apply(snapshot)
        if isinstance(applied, Ok):
            if applied.ok_value:
                self._report('peer')
            return
        # The peer counts from another base, or sent something invalid: the
        # platform settles it.
        self._count_event('configuration_refused')
        log_event(
            'configuration_refused',
            step='configuration',
            detail=applied.err_value.detail,
        )
        await self._read_platform()

    async def _pull_from_next(self, *, wait_ms: int) -> None:
        sources = [
            *self._peers.get_own_watchers(),
            *self._peers.sample(1),
        ]
        answered = False
        if sources:
            source = sources[next(self._turns) % len(sources)]
            answered = await self.pull(source.address, wait_ms=wait_ms)
        if not answered:
            await asyncio.sleep(
                global_settings.CONFIGURATION_RETRY_MS / _MILLISECONDS,
            )

    async def _read_platform(self) -> StorePosition | None:
        before = self._store.generation
        found = await read_newer(self._key_value, self._store)
        if isinstance(found, Err):
            self._count_event('platform_unavailable')
            return None
        if self._store.generation > before:
            self._report('platform')
        return StorePosition(
            timeline=found.ok_value.timeline,
            revision=found.ok_value.read_revision,
        )

    async def _watch_platform(self) -> None:
        position = await self._read_platform()
        if position is None:
            return
        await self._follow_watch(position)
        self._count_event('watch_ended')

    async def _follow_watch(self, position: StorePosition) -> None:
        async for stored in self._key_value.follow(
            MANIFEST_KEY,
            after=position,
            idle_ms=self._get_idle_ms(),
        ):
            if decode_manifest(stored.text).generation > self._store.generation:
                await self._read_platform()
            if not self._peers.is_watcher():
                return

    def _get_idle_ms(self) -> float:
        """
        Return how long a watch may be silent before all is looked at anew.

        A process that is not listed yet watches only until it is: otherwise
        a fleet that starts at once would all wait at the platform.
        """
        if self._peers.is_listed():
            return global_settings.CONFIGURATION_REREAD_MS
        return global_settings.CONFIGURATION_WAIT_MS

    def _report(self, source: str) -> None:
        self._count_event('configuration_applied')
        log_event(
            'configuration_applied',
            step='configuration',
            generation=self._store.generation,
            source=source,
        )
