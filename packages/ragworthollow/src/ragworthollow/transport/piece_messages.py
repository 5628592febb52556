"""Define the messages between gateways about pieces."""

import math

import msgspec

from ragworthollow.pieces import Piece, PieceOutcome, PieceResult
from ragworthollow.utils import decode_json
from ragworthollow.utils.message import Message


class PieceRequest(Message):
    """
    Request one piece.

    Times are relative, since processes do not share a monotonic clock.

    Attributes
    ----------
    request_id, position, number, key, inputs : various
        As in `Piece`.
    due_in_ms, give_up_in_ms, expires_in_ms : float
        Milliseconds from now; negative if the time has passed.
    result_bytes : int
        Approximate size of the result.
    failure_domain : str
        Failure domain where the result will be read.
    priority : int
        Priority of the request; 0 is served first.
    fingerprint : str
        Identifies the work; the same for each attempt at it.
    homes : tuple of str or None
        Allowed regions for producing the result; None for any region.
    inputs_pool : str
        Pool that is short of the space that the inputs take; empty if none.
    """

    request_id: str
    position: int
    number: int
    due_in_ms: float
    give_up_in_ms: float
    expires_in_ms: float
    key: str = ''
    inputs: tuple[str, ...] = ()
    result_bytes: int = 0
    failure_domain: str = ''
    priority: int = 0
    fingerprint: str = ''
    homes: tuple[str, ...] | None = None
    inputs_pool: str = ''


class PieceResultMessage(Message):
    """Report the result of a piece; the wire form of `PieceResult`."""

    outcome: PieceOutcome
    handle: str = ''
    wait_ms: float | None = 0


class PiecesRequest(Message):
    """
    Request pieces of one stage of one request from a pool's scheduler.

    Attributes
    ----------
    pool : str
        Pool of the scheduler.
    asker : str
        Incarnation of the requesting gateway.
    orders : tuple of PieceRequest
        One request for each piece.
    """

    pool: str
    asker: str
    orders: tuple[PieceRequest, ...]


class PiecesResponse(Message):
    """Return the results in the order of the pieces."""

    results: tuple[PieceResultMessage, ...]


class ResultsRelease(Message):
    """
    Release results of a pool, whichever schedulers requested them.

    Attributes
    ----------
    pool : str
        Pool that produced the results.
    handles : tuple of str
        Handles of the results.
    is_forwarded : bool
        Whether a gateway that does not host the scheduler has forwarded the
        message. Two gateways that regard each other as the host must not
        forward it back and forth endlessly.
    """

    pool: str
    handles: tuple[str, ...]
    is_forwarded: bool = False


class StoredResultMessage(Message):
    """Describe a result that takes space; wire form of `StoredResult`."""

    handle: str
    instance: str
    result_bytes: int
    left_ms: float
    asker: str = ''


class RemoteCallMessage(Message):
    """Describe a call in progress; the wire form of `RemoteCall`."""

    instance: str
    result_bytes: int


class SchedulerTransfer(Message):
    """
    Send the host of a scheduler the work in progress of another one.

    Attributes
    ----------
    pool : str
        Pool of both schedulers.
    source : str
        Sender of the transfer.
    calls : tuple of RemoteCallMessage or None
        All calls that instances still process; None when the message does
        not cover calls.
    kept : tuple of StoredResultMessage
        Results that take space.
    """

    pool: str
    source: str
    calls: tuple[RemoteCallMessage, ...] | None = None
    kept: tuple[StoredResultMessage, ...] = ()


def encode_pieces(
    pool: str,
    pieces: tuple[Piece, ...],
    now_ms: float,
) -> bytes:
    """Encode pieces for a host with a different monotonic clock."""
    return msgspec.json.encode(
        PiecesRequest(
            pool=pool,
            asker=pieces[0].requester,
            orders=tuple(
                PieceRequest(
                    request_id=piece.request_id,
                    position=piece.position,
                    number=piece.number,
                    due_in_ms=piece.due_ms - now_ms,
                    give_up_in_ms=piece.give_up_ms - now_ms,
                    expires_in_ms=piece.expires_ms - now_ms,
                    key=piece.key,
                    inputs=piece.inputs,
                    inputs_pool=piece.inputs_pool,
                    result_bytes=piece.result_bytes,
                    failure_domain=piece.failure_domain,
                    priority=piece.priority,
                    fingerprint=piece.fingerprint,
                    homes=None
                    if piece.allowed_regions is None
                    else tuple(piece.allowed_regions),
                )
                for piece in pieces
            ),
        ),
    )


def decode_pieces(message: PiecesRequest, now_ms: float) -> tuple[Piece, ...]:
    """Decode pieces, with times on this process's monotonic clock."""
    return tuple(
        Piece(
            request_id=request.request_id,
            position=request.position,
            number=request.number,
            key=request.key,
            inputs=request.inputs,
            inputs_pool=request.inputs_pool,
            due_ms=now_ms + request.due_in_ms,
            give_up_ms=now_ms + request.give_up_in_ms,
            expires_ms=now_ms + request.expires_in_ms,
            result_bytes=request.result_bytes,
            failure_domain=request.failure_domain,
            priority=request.priority,
            fingerprint=request.fingerprint,
            allowed_regions=None
            if request.homes is None
            else frozenset(request.homes),
            requester=message.asker,
        )
        for request in message.orders
    )


def encode_results(results: tuple[PieceResult, ...]) -> PiecesResponse:
    """Encode results as the response to a gateway."""
    return PiecesResponse(
        results=tuple(
            PieceResultMessage(
                outcome=piece.outcome,
                handle=piece.handle,
                wait_ms=piece.wait_ms if math.isfinite(piece.wait_ms) else None,
            )
            for piece in results
        ),
    )


def decode_results(text: bytes) -> tuple[PieceResult, ...]:
    """
    Decode the response of a host.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not a valid response.
    """
    response = decode_json(text, PiecesResponse)
    return tuple(
        PieceResult(
            outcome=message.outcome,
            handle=message.handle,
            wait_ms=math.inf if message.wait_ms is None else message.wait_ms,
        )
        for message in response.results
    )
