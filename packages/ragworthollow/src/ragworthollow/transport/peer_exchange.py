"""Tie the responses of peer gateways to their requests."""

import aiohttp

from ragworthollow.conf import global_settings
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.connector import Connector
from ragworthollow.transport.exchange_response import ExchangeResponse
from ragworthollow.transport.foreign_response_error import ForeignResponseError
from ragworthollow.transport.peer_response import PeerResponse
from ragworthollow.transport.responses import EXCHANGE_HEADER
from ragworthollow.utils import make_identifier


def make_peer_session() -> aiohttp.ClientSession:
    """
    Create a session for requests to peer gateways.

    Returns
    -------
    ClientSession
        Session that the caller must close; it discards copies of earlier
        responses.
    """
    return aiohttp.ClientSession(
        connector=Connector(
            limit=0,
            use_dns_cache=False,
            identity_header=EXCHANGE_HEADER,
            # Peers of an earlier software version return none.
            may_omit_identity=True,
        ),
        response_class=ExchangeResponse,
        read_bufsize=global_settings.UPSTREAM_READ_BUFFER_BYTES,
        auto_decompress=False,
    )


async def post_to_peer(
    session: aiohttp.ClientSession,
    url: str,
    body: bytes,
    timeout: aiohttp.ClientTimeout,
) -> PeerResponse:
    """
    Send a message to a peer and read its response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for requests to peers.
    url : str
        URL of the endpoint.
    body : bytes
        Encoded message.
    timeout : ClientTimeout
        Timeout of the exchange.

    Raises
    ------
    ForeignResponseError
        The response names another request.
    TimeoutError, aiohttp.ClientError, OSError
        There is no complete response.
    """
    identifier = make_identifier()
    async with session.post(
        url,
        data=body,
        headers={EXCHANGE_HEADER: identifier},
        timeout=timeout,
    ) as response:
        received = await read_bounded(
            response, global_settings.MAX_PEER_STATE_BYTES
        )
        named = response.headers.get(EXCHANGE_HEADER, identifier)
        if named != identifier:
            raise ForeignResponseError(f'the response names {named}')
        return PeerResponse(status=response.status, body=received)
