"""Open connections to upstreams."""

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.tracing import Trace

from ragworthollow.conf import global_settings
from ragworthollow.transport.connector import Connector
from ragworthollow.transport.exchange_response import ExchangeResponse
from ragworthollow.transport.timeouts import limit_running_time

_MILLISECONDS = 1000


class UpstreamConnector(Connector):
    """Connect without counting pauses of this process as waiting."""

    async def _create_connection(
        self,
        req: ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        async with limit_running_time(timeout.sock_connect):
            return await super()._create_connection(
                req,
                traces,
                aiohttp.ClientTimeout(ceil_threshold=timeout.ceil_threshold),
            )


def make_upstream_session(
    identity_header: str = '',
    response_class: type[ExchangeResponse] = ExchangeResponse,
    *,
    may_omit_identity: bool = False,
) -> aiohttp.ClientSession:
    """
    Create a session for requests to upstreams.

    Parameters
    ----------
    identity_header : str
        Header in which requests and their responses name the request.
    response_class : type
        Class of the responses.
    may_omit_identity : bool
        Whether a response may name no request.

    Returns
    -------
    ClientSession
        Session that the caller must close.
    """
    session = aiohttp.ClientSession(
        connector=UpstreamConnector(
            identity_header=identity_header,
            may_omit_identity=may_omit_identity,
            limit=0,
            use_dns_cache=False,
            keepalive_timeout=(
                global_settings.UPSTREAM_IDLE_MS / _MILLISECONDS
            ),
        ),
        response_class=response_class,
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
