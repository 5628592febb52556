"""Simulate the network link from one gateway to the store."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from measure.replica_fleet.store_session import Answer, StoreSession

_MILLISECONDS = 1000
_SLOW_RESPONSE_DELAY_MS = 240
_REFUSED_STATUS = 503


class StoreLink:
    """
    Forward the calls of one gateway to the shared store, with faults.

    Parameters
    ----------
    store : StoreSession
        Store that all gateways share.
    find_fault : callable
        Returns the kind of the current fault; empty for none.
    wait_until_thawed : callable
        Waits until the gateway is not frozen.
    bytes_per_s : float
        Bandwidth of the link.
    """

    def __init__(
        self,
        *,
        store: StoreSession,
        find_fault: Callable[[], str],
        wait_until_thawed: Callable,
        bytes_per_s: float,
    ) -> None:
        self._store = store
        self._find_fault = find_fault
        self._wait_until_thawed = wait_until_thawed
        self._bytes_per_s = bytes_per_s
        self.calls = 0

    @contextlib.asynccontextmanager
    async def request(self, method, url, **options) -> AsyncIterator[Answer]:
        """Return a response as the HTTP client does."""
        self.calls += 1
        await self._wait_until_thawed()
        fault = self._find_fault()
        if fault == 'cut':
            await asyncio.sleep(options['timeout'].sock_read)
            raise TimeoutError
        if fault == 'refused':
            yield Answer(_REFUSED_STATUS, b'', self._bytes_per_s)
            return
        if fault == 'slow':
            await asyncio.sleep(_SLOW_RESPONSE_DELAY_MS / _MILLISECONDS)
        async with self._store.request(method, url, **options) as response:
            await self._wait_until_thawed()
            yield Answer(
                response.status,
                response.body,
                self._bytes_per_s,
                response.headers,
            )
