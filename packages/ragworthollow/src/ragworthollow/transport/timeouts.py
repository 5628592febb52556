"""Build timeouts for exchanges between processes."""

import aiohttp

from ragworthollow.conf import global_settings

_MILLISECONDS = 1000


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
