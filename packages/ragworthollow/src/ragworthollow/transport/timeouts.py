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
