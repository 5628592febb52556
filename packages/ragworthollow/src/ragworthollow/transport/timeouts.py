"""Build timeouts for exchanges between processes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from ragworthollow.conf import global_settings

_MILLISECONDS = 1000
_RUNNING_TIME_PERIODS = 10


def make_inactivity_timeout(
    inactivity_ms: float,
    wait_ms: float = 0,
) -> aiohttp.ClientTimeout:
    """
    Build a timeout for a response that may be large.

    A limit for the whole exchange does not fit a response of unknown size:
    over a link of 5 Mbit/s, 350 KB take 560 ms. With a shorter limit each
    attempt is aborted midway and the next one starts over, so that the
    response never arrives. Incoming bytes show that the peer is alive and
    the connection works, so that only their absence counts.

    Parameters
    ----------
    inactivity_ms : float
        Milliseconds without any received byte after which the peer or the
        connection counts as lost.
    wait_ms : float
        Milliseconds for which the peer may delay its response, as in a long
        poll.

    Returns
    -------
    ClientTimeout
        Timeout with a total of `EXCHANGE_LIMIT_MS` plus `wait_ms`.
    """
    return aiohttp.ClientTimeout(
        total=(global_settings.EXCHANGE_LIMIT_MS + wait_ms) / _MILLISECONDS,
        sock_connect=inactivity_ms / _MILLISECONDS,
        sock_read=(inactivity_ms + wait_ms) / _MILLISECONDS,
    )


def make_timeout(total_ms: float, connect_ms: float) -> aiohttp.ClientTimeout:
    """
    Build a timeout for a complete exchange.

    Parameters
    ----------
    total_ms : float
        Milliseconds for the whole exchange, connecting included.
    connect_ms : float
        Milliseconds for establishing the connection.
    """
    return aiohttp.ClientTimeout(
        total=total_ms / 1000,
        sock_connect=connect_ms / 1000,
    )


@asynccontextmanager
async def limit_running_time(limit_s: float | None) -> AsyncIterator[None]:
    """
    Raise TimeoutError once the event loop has run for as long as a limit.

    After a pause of this process, an ordinary timeout expires before the loop
    has handled what arrived meanwhile, so that the pause is taken for a failure
    of the peer. Here a pause counts as at most one period of the limit.

    Parameters
    ----------
    limit_s : float or None
        Limit in seconds; None for no limit.
    """
    if limit_s is None:
        yield
        return
    async with asyncio.timeout(None) as timeout:
        expiring = asyncio.ensure_future(_expire(timeout, limit_s))
        try:
            yield
        finally:
            expiring.cancel()


async def _expire(timeout: asyncio.Timeout, limit_s: float) -> None:
    for _ in range(_RUNNING_TIME_PERIODS):
        await asyncio.sleep(limit_s / _RUNNING_TIME_PERIODS)
    timeout.reschedule(asyncio.get_running_loop().time())
