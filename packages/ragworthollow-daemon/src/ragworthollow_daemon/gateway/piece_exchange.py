"""Send requests to the gateway that hosts the scheduler of a pool."""

from collections.abc import Callable, Coroutine

import aiohttp
import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.pieces import Piece, PieceResult
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.piece_messages import (
    ResultsRelease,
    decode_results,
    encode_pieces,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.peer_notifications import notify_peer

_OK = 200
RUN_PATH = '/v1/pieces/run'
FREE_PATH = '/v1/pieces/free'

PieceResults = tuple[PieceResult, ...]
RequestPieces = Callable[
    [GatewayContext, GatewayMember, str, tuple[Piece, ...]],
    Coroutine[None, None, Result[PieceResults, str]],
]
NotifyReleased = Callable[
    [GatewayContext, GatewayMember, ResultsRelease],
    Coroutine[None, None, bool],
]


async def request_pieces(
    context: GatewayContext,
    host: GatewayMember,
    pool: str,
    pieces: tuple[Piece, ...],
) -> Result[PieceResults, str]:
    """
    Have pieces processed by a scheduler that another gateway hosts.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    host : GatewayMember
        Gateway that hosts the scheduler.
    pool : str
        Pool that processes the pieces.
    pieces : tuple of Piece
        Pieces of one stage of one request.

    Returns
    -------
    Result
        Results in the order of the pieces, or a description of the error.
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
            body = await read_bounded(
                response, global_settings.MAX_MESSAGE_BYTES
            )
            status = response.status
        if status == _OK:
            return Ok(decode_results(body))
    except (
        TimeoutError,
        aiohttp.ClientError,
        OSError,
        msgspec.DecodeError,
    ) as error:
        return Err(repr(error))
    return Err(f'status {status}')


async def notify_released(
    context: GatewayContext,
    host: GatewayMember,
    release: ResultsRelease,
) -> bool:
    """Notify a host of released results; return False if it may not know."""
    body = msgspec.json.encode(release)
    return await notify_peer(context, host, FREE_PATH, body)
