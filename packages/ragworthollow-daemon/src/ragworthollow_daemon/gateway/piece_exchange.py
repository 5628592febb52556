"""Speak with the gateway that hosts a gate."""

from collections.abc import Callable, Coroutine

import aiohttp
import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.pieces import Piece, PieceResult
from ragworthollow.transport.piece_messages import (
    ResultsRelease,
    decode_results,
    encode_pieces,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.peer_notes import tell_peer

_OK = 200
RUN_PATH = '/v1/pieces/run'
FREE_PATH = '/v1/pieces/free'

Found = tuple[PieceResult, ...]
AskHost = Callable[
    [GatewayContext, GatewayMember, str, tuple[Piece, ...]],
    Coroutine[None, None, Result[Found, str]],
]
TellHost = Callable[
    [GatewayContext, GatewayMember, ResultsRelease],
    Coroutine[None, None, bool],
]


async def ask_host(
    context: GatewayContext,
    host: GatewayMember,
    pool: str,
    pieces: tuple[Piece, ...],
) -> Result[Found, str]:
    """
    Have pieces done by the gate that another gateway hosts.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    host : GatewayMember
        Who hosts the gate.
    pool : str
        Pool of the gate.
    pieces : tuple of Piece
        Of one stage of one request.

    Returns
    -------
    Result
        Results in the order of the pieces, or how the host failed.
    """
    try:
        async with context.session.post(
            f'http://{host.peer_address}{RUN_PATH}',
            data=encode_pieces(pool, pieces, get_monotonic_ms()),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=global_settings.PEER_CONNECT_TIMEOUT_MS / 1000,
            ),
        ) as response:
            text = await response.read()
            status = response.status
        if status == _OK:
            return Ok(decode_results(text))
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        msgspec.DecodeError,
    ) as error:
        return Err(repr(error))
    return Err(f'status {status}')


async def tell_released(
    context: GatewayContext,
    host: GatewayMember,
    release: ResultsRelease,
) -> bool:
    """Tell a host of results that are given up; False when it may not know."""
    body = msgspec.json.encode(release)
    return await tell_peer(context, host, FREE_PATH, body)
