"""Keep the configuration of a process up to date."""

import asyncio
import itertools
from collections.abc import Callable

import aiohttp
import msgspec
from result import Err, Ok

from ragworthollow.conf import global_settings
from ragworthollow.configuration.exceptions import ConfigurationError
from ragworthollow.configuration.keys import MANIFEST_KEY
from ragworthollow.configuration.reader import refresh_store
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.configuration.store import (
    ConfigurationStore,
    decode_manifest,
)
from ragworthollow.logs.events import log_event
from ragworthollow.membership.peer_directory import PeerDirectory
from ragworthollow.platform import StoreClient
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.timeouts import make_inactivity_timeout
from ragworthollow.utils import decode_json

_MILLISECONDS_PER_SECOND = 1000
_NO_CONTENT = 204
_PEER_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    msgspec.DecodeError,
    OSError,
)


class ConfigurationSynchronizer:
    """
    Fetch and apply new generations of the configuration.

    Two processes of each failure domain watch the platform, so that the
    number of open watches does not grow with the fleet.  All other processes
    keep a long-polling request open at one of these watchers, and switch to
    the other watcher or to any peer when it does not respond: a hung watcher
    delays a change by one timeout.

    Parameters
    ----------
    key_value : StoreClient
        Client of the platform's key-value store.
    store : ConfigurationStore
        Configuration of this process.
    peers : PeerDirectory
        The other processes of the fleet.
    session : aiohttp.ClientSession
        Authenticated HTTP session for requests to peers.
    count_event : callable
        Increments the counter of the named event.
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
        self._source_counter = itertools.count()

    async def start(self) -> None:
        """
        Apply the newest generation of some peers, then of the platform.

        Peers are queried first: they respond even while the platform is
        down, and they save it from serving the files.
        """
        peers = [
            *self._peers.get_own_watchers(),
            *self._peers.sample(global_settings.CONFIGURATION_PEERS_QUERIED),
        ]
        for peer in peers:
            await self.pull(peer.address, wait_ms=0)
        await self._read_platform()

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        while True:
            if self._peers.is_watcher():
                await self._watch_platform()
                await self._pull_from_next(wait_ms=0)
                await asyncio.sleep(
                    global_settings.CONFIGURATION_RETRY_MS
                    / _MILLISECONDS_PER_SECOND,
                )
            else:
                await self._pull_from_next(
                    wait_ms=global_settings.CONFIGURATION_WAIT_MS,
                )

    async def pull(self, address: str, *, wait_ms: int) -> bool:
        """
        Fetch a newer generation from one peer and apply it.

        Parameters
        ----------
        address : str
            `IP:PORT` of the peer.
        wait_ms : int
            How long the peer may hold the request open while it has no newer
            generation, in milliseconds.

        Returns
        -------
        bool
            Whether the peer responded.
        """
        try:
            snapshot = await self._fetch_snapshot(address, wait_ms)
        except _PEER_ERRORS as error:
            log_event(
                'configuration_peer_unreachable',
                step='configuration',
                peer=address,
                error=type(error).__name__,
            )
            return False
        if snapshot is not None:
            await self._apply_snapshot(snapshot)
        return True

    async def _fetch_snapshot(
        self,
        address: str,
        wait_ms: int,
    ) -> Snapshot | None:
        async with self._session.get(
            f'http://{address}/v1/configuration',
            params={'have': self._store.generation, 'wait_ms': wait_ms},
            timeout=make_inactivity_timeout(
                global_settings.CONFIGURATION_PEER_TIMEOUT_MS,
                wait_ms,
            ),
            raise_for_status=True,
        ) as response:
            if response.status == _NO_CONTENT:
                return None
            body = await read_bounded(
                response, global_settings.MAX_STORE_RESPONSE_BYTES
            )
            return decode_json(body, Snapshot)

    async def _apply_snapshot(self, snapshot: Snapshot) -> None:
        applied = self._store.apply(snapshot)
        if isinstance(applied, Ok):
            if applied.ok_value:
                self._record_applied('peer')
            return
        # The snapshot is invalid, or lacks files because the peer assumes
        # another base: read the generation from the platform instead.
        self._report_refused(applied.err_value)
        await self._read_platform()

    async def _pull_from_next(self, *, wait_ms: int) -> None:
        sources = [
            *self._peers.get_own_watchers(),
            *self._peers.sample(1),
        ]
        has_responded = False
        if sources:
            source = sources[next(self._source_counter) % len(sources)]
            has_responded = await self.pull(source.address, wait_ms=wait_ms)
        if not has_responded:
            await asyncio.sleep(
                global_settings.CONFIGURATION_RETRY_MS
                / _MILLISECONDS_PER_SECOND,
            )

    async def _read_platform(self) -> StorePosition | None:
        previous_generation = self._store.generation
        manifest_result = await refresh_store(
            self._key_value, self._store, self._report_refused
        )
        if isinstance(manifest_result, Err):
            self._count_event('platform_unavailable')
            return None
        if self._store.generation > previous_generation:
            self._record_applied('platform')
        return StorePosition(
            timeline=manifest_result.ok_value.timeline,
            revision=manifest_result.ok_value.read_revision,
        )

    async def _watch_platform(self) -> None:
        position = await self._read_platform()
        if position is None:
            return
        await self._process_watch(position)
        self._count_event('watch_ended')

    async def _process_watch(self, position: StorePosition) -> None:
        async for stored in self._key_value.follow(
            MANIFEST_KEY,
            after=position,
            idle_ms=self._get_idle_timeout_ms(),
        ):
            decoded = decode_manifest(stored.text)
            if (
                isinstance(decoded, Ok)
                and decoded.ok_value.generation > self._store.generation
            ):
                await self._read_platform()
            if not self._peers.is_watcher():
                return

    def _get_idle_timeout_ms(self) -> float:
        """
        Return the idle time in ms after which a watch ends for a full reread.

        A process that is not listed yet uses a shorter time, so that it soon
        checks again whether it is a watcher: otherwise all processes of a
        fleet that starts at once would keep watches open at the platform.
        """
        if self._peers.is_listed():
            return global_settings.CONFIGURATION_REREAD_MS
        return global_settings.CONFIGURATION_WAIT_MS

    def _report_refused(self, error: ConfigurationError) -> None:
        self._count_event('configuration_refused')
        log_event(
            'configuration_refused',
            step='configuration',
            detail=error.detail,
        )

    def _record_applied(self, source: str) -> None:
        self._count_event('configuration_applied')
        log_event(
            'configuration_applied',
            step='configuration',
            generation=self._store.generation,
            source=source,
        )
