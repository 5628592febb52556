"""Be the way from one gateway to the store."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from measure.replica_fleet.store_session import Answer, StoreSession

_MILLISECONDS = 1000
_SLOW_MS = 240
_REFUSED = 503


class StoreLink:
    """
    Carry the calls of one gateway to a store that all share.

    Parameters
    ----------
    store : StoreSession
        The store.
    find_trouble : callable
        Tells what befalls the gateway now; empty for nothing.
    wait_awake : callable
        Waits until the gateway is not frozen.
    bytes_per_s : float
        What the link carries.
    """

    def __init__(
        self,
        *,
        store: StoreSession,
        find_trouble: Callable[[], str],
        wait_awake: Callable,
        bytes_per_s: float,
    ) -> None:
        self._store = store
        self._find_trouble = find_trouble
        self._wait_awake = wait_awake
        self._bytes_per_s = bytes_per_s
        self.calls = 0

    @contextlib.asynccontextmanager
    async def request(self, method, url, **options) -> AsyncIterator[Answer]:
        """Answer as the HTTP client does."""
        self.calls += 1
        await self._wait_awake()
        trouble = self._find_trouble()
        if trouble == 'cut':
            await asyncio.sleep(options['timeout'].sock_read)
            raise TimeoutError
        if trouble == 'refused':
            yield Answer(_REFUSED, b'', self._bytes_per_s)
            return
        if trouble == 'slow':
            await asyncio.sleep(_SLOW_MS / _MILLISECONDS)
        async with self._store.request(method, url, **options) as answer:
            await self._wait_awake()
            yield Answer(
                answer.status,
                answer.body,
                self._bytes_per_s,
                answer.headers,
            )
