"""Reuse connections to upstreams only if they hold no unexpected data."""

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from ragworthollow.conf import global_settings
from ragworthollow.transport.connector import Connector
from ragworthollow.transport.timeouts import limit_running_time

_MILLISECONDS = 1000


class CheckedConnector(Connector):
    """
    Skip idle connections on which unsolicited bytes have arrived.

    An upstream may send a second response after a complete one. aiohttp
    would use it as the response to the next request on the connection. That
    request may have run by then, and its own response would be lost.
    """

    async def connect(
        self,
        req: ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection without unread bytes."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()

    async def _create_connection(
        self,
        req: ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Connect without counting pauses of this process as waiting."""
        async with limit_running_time(timeout.sock_connect):
            return await super()._create_connection(
                req,
                traces,
                aiohttp.ClientTimeout(ceil_threshold=timeout.ceil_threshold),
            )


def make_upstream_session() -> aiohttp.ClientSession:
    """
    Create a session for requests to upstreams.

    Returns
    -------
    ClientSession
        Session that the caller must close.
    """
    session = aiohttp.ClientSession(
        connector=CheckedConnector(
            limit=0,
            use_dns_cache=False,
            keepalive_timeout=(
                global_settings.UPSTREAM_IDLE_MS / _MILLISECONDS
            ),
        ),
        read_bufsize=global_settings.UPSTREAM_READ_BUFFER_BYTES,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'User-Agent',
            'Accept',
            'Accept-Encoding',
            'Content-Type',
        ),
    )
    # aiohttp retries a GET by itself when a reused connection breaks. That
    # second attempt would not be counted, and a GET of a route that may not be
    # repeated would run twice.
    session._retry_connection = False  # noqa: SLF001
    return session
