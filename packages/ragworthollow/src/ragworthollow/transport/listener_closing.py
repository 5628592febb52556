"""Close a listener without interrupting requests on its connections."""

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ragworthollow.conf import global_settings
from ragworthollow.transport.limited_connection import LimitedConnection
from ragworthollow.utils import get_boottime_ms

_MS_PER_SECOND = 1000
# Iterations of the event loop until a connection that was accepted before its
# listener closed is known to the server; asyncio needs three.
_ACCEPT_ITERATIONS = 8


async def close_listener(runner: web.BaseRunner, limit_ms: float) -> int:
    """
    Stop listening, then wait until all connections are closed.

    Idle connections are closed at once, the others as soon as their response
    has been delivered.  As long as a connection is open, its peer may send
    another request, which is still served.

    Parameters
    ----------
    runner : BaseRunner
        Runner of the listener; closing it again continues to wait.
    limit_ms : float
        Maximum wait on CLOCK_BOOTTIME, in milliseconds.

    Returns
    -------
    int
        Number of connections that are still open.
    """
    for site in tuple(runner.sites):
        await site.stop()
    for _ in range(_ACCEPT_ITERATIONS):
        await asyncio.sleep(0)
    end_ms = get_boottime_ms() + limit_ms
    connections = _close_idle_connections(runner)
    while connections and get_boottime_ms() < end_ms:
        await asyncio.sleep(global_settings.SHUTDOWN_POLL_MS / _MS_PER_SECOND)
        connections = _close_idle_connections(runner)
    return connections


def _close_idle_connections(runner: web.BaseRunner) -> int:
    """Close idle connections; return the number that were not yet closed."""
    connections = runner.server.connections
    for connection in connections:
        if _is_idle(connection):
            connection.force_close()
    return len(connections)


def _is_idle(connection: RequestHandler) -> bool:
    """Return whether no request is in progress on a connection."""
    if isinstance(connection, LimitedConnection):
        if connection.is_receiving_head():
            return False
    waiter = connection._waiter  # noqa: SLF001
    return waiter is not None and not waiter.done()
