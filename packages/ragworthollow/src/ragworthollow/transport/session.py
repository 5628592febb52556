"""Make the HTTP session for calls to other processes."""

from types import SimpleNamespace

import aiohttp

from ragworthollow.conf import global_settings
from ragworthollow.transport.authentication import CLUSTER_HEADER

_MILLISECONDS = 1000


class HandOver(SimpleNamespace):
    """
    Record whether any byte of a request body was handed to the socket.

    A connection that breaks before is provably without effect, whatever the
    error is called; afterwards the call may have run.
    """

    started: bool = False


async def _mark_started(
    _session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _params: aiohttp.TraceRequestChunkSentParams,
) -> None:
    if isinstance(context.trace_request_ctx, HandOver):
        context.trace_request_ctx.started = True


def make_session(cluster_key: str) -> aiohttp.ClientSession:
    """
    Make a session that authenticates itself and records hand-overs.

    Parameters
    ----------
    cluster_key : str
        Secret of the deployment.

    Returns
    -------
    ClientSession
        To be closed by the caller.
    """
    trace = aiohttp.TraceConfig()
    trace.on_request_chunk_sent.append(_mark_started)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            limit_per_host=global_settings.POOL_CONNECTIONS_PER_PEER,
            keepalive_timeout=global_settings.KEEPALIVE_MS / _MILLISECONDS,
            use_dns_cache=False,
        ),
        headers={CLUSTER_HEADER: cluster_key},
        trace_configs=[trace],
        read_bufsize=global_settings.STREAM_READ_LIMIT_BYTES,
        auto_decompress=False,
    )


def make_plain_session() -> aiohttp.ClientSession:
    """
    Make a session for the platform and upstreams, without our secret.

    Returns
    -------
    ClientSession
        To be closed by the caller.
    """
    trace = aiohttp.TraceConfig()
    trace.on_request_chunk_sent.append(_mark_started)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
        trace_configs=[trace],
        read_bufsize=global_settings.STREAM_READ_LIMIT_BYTES,
        auto_decompress=False,
    )
