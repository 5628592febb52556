"""Create the HTTP sessions of a process."""

import aiohttp

from ragworthollow.conf import global_settings
from ragworthollow.transport.authentication import CLUSTER_HEADER
from ragworthollow.transport.connector import Connector

_MILLISECONDS = 1000


def make_session(cluster_key: str) -> aiohttp.ClientSession:
    """
    Create a session that sends the cluster key.

    Parameters
    ----------
    cluster_key : str
        Shared secret of the deployment.

    Returns
    -------
    ClientSession
        Session that the caller must close.
    """
    return aiohttp.ClientSession(
        connector=Connector(
            limit=0,
            limit_per_host=global_settings.POOL_CONNECTIONS_PER_PEER,
            keepalive_timeout=global_settings.KEEPALIVE_MS / _MILLISECONDS,
            use_dns_cache=False,
        ),
        headers={CLUSTER_HEADER: cluster_key},
        read_bufsize=global_settings.UPSTREAM_READ_BUFFER_BYTES,
        auto_decompress=False,
    )


def make_unauthenticated_session(
    read_buffer_bytes: int = global_settings.UPSTREAM_READ_BUFFER_BYTES,
) -> aiohttp.ClientSession:
    """
    Create a session for the platform and upstreams, without the key.

    Parameters
    ----------
    read_buffer_bytes : int
        Received bytes of a response from which its connection is not read
        until half of them have been processed.

    Returns
    -------
    ClientSession
        Session that the caller must close.
    """
    return aiohttp.ClientSession(
        connector=Connector(limit=0, use_dns_cache=False),
        read_bufsize=read_buffer_bytes,
        auto_decompress=False,
    )
