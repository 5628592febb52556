"""Make timeouts for exchanges between processes."""

import aiohttp

from ragworthollow.conf import global_settings

_MILLISECONDS = 1000


def make_silence_timeout(
    silence_ms: float,
    wait_ms: float = 0,
) -> aiohttp.ClientTimeout:
    """
    Make a timeout for an answer that may be large.

    A limit for the whole exchange says nothing of an answer whose size others
    choose: behind a link of 5 Mbit/s, 350 KB take 560 ms.  A limit below that
    ends each try in the middle, the next one begins anew, and what was asked
    for never arrives.  Bytes that come show that the peer lives and that the
    connection works, so that only their absence counts.

    Parameters
    ----------
    silence_ms : float
        Milliseconds without any byte after which the peer or the connection
        counts as lost.
    wait_ms : float
        Milliseconds for which the peer may hold the question.

    Returns
    -------
    ClientTimeout
        With `EXCHANGE_LIMIT_MS` for all of it.
    """
    return aiohttp.ClientTimeout(
        total=(global_settings.EXCHANGE_LIMIT_MS + wait_ms) / _MILLISECONDS,
        sock_connect=silence_ms / _MILLISECONDS,
        sock_read=(silence_ms + wait_ms) / _MILLISECONDS,
    )


def make_timeout(total_ms: float, connect_ms: float) -> aiohttp.ClientTimeout:
    """
    Make a timeout for a whole exchange.

    Parameters
    ----------
    total_ms : float
        Milliseconds from the first byte to the last.
    connect_ms : float
        Milliseconds until the connection stands.
    """
    return aiohttp.ClientTimeout(
        total=total_ms / 1000,
        sock_connect=connect_ms / 1000,
    )
