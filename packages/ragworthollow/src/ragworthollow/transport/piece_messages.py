"""Define what gateways say to each other about pieces."""

import math

import msgspec

from ragworthollow.pieces import Piece, PieceOutcome, PieceResult
from ragworthollow.utils.message import Message


class PieceRequest(Message):
    """
    Ask for one piece.

    Times are relative, since no two processes share a monotonic clock.

    Attributes
    ----------
    request_id, position, number, key, inputs : various
        As in `Piece`.
    due_in_ms, give_up_in_ms, expires_in_ms : float
        From now; negative when the moment has passed.
    result_bytes : int
        Approximate size of the result.
    failure_domain : str
        Where the result will be read.
    priority : int
        Rank of the request, 0 first.
    fingerprint : str
        The same for each try of the same work.
    homes : tuple of str or None
        Regions in which it may be made; None for any.
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


class PieceResultMessage(Message):
    """Tell what became of a piece, as `PieceResult` does."""

    outcome: PieceOutcome
    handle: str = ''
    wait_ms: float | None = 0


class PiecesOrder(Message):
    """
    Ask the gate of a pool for pieces of one stage of one request.

    Attributes
    ----------
    pool : str
        Pool of the gate.
    asker : str
        Incarnation of the gateway that asks.
    orders : tuple of PieceOrder
        One for each piece.
    """

    pool: str
    asker: str
    orders: tuple[PieceRequest, ...]


class PiecesResponse(Message):
    """Answer with results in the order of the pieces."""

    results: tuple[PieceResultMessage, ...]


class ResultsRelease(Message):
    """
    Give results of a pool up, whichever gates had them made.

    Attributes
    ----------
    pool : str
        Pool that made them.
    handles : tuple of str
        Their names.
    is_forwarded : bool
        Whether a gateway that does not host the gate has passed it on; two
        that take each other for the host must not do so for ever.
    """

    pool: str
    handles: tuple[str, ...]
    is_forwarded: bool = False


class KeptResultMessage(Message):
    """Tell of a result that takes space, as `KeptResult` does."""

    handle: str
    instance: str
    result_bytes: int
    left_ms: float
    asker: str = ''


class ForeignCallMessage(Message):
    """Tell of a call that is worked on, as `ForeignCall` does."""

    instance: str
    result_bytes: int


class GateTransfer(Message):
    """
    Tell the host of a gate what another one of the pool has in hand.

    Attributes
    ----------
    pool : str
        Pool of both gates.
    source : str
        Who tells.
    calls : tuple of ForeignCallMessage or None
        All calls that instances still work on; None when nothing is said of
        calls.
    kept : tuple of KeptResultMessage
        Results that take space.
    """

    pool: str
    source: str
    calls: tuple[ForeignCallMessage, ...] | None = None
    kept: tuple[KeptResultMessage, ...] = ()


def encode_pieces(
    pool: str,
    pieces: tuple[Piece, ...],
    now_ms: float,
) -> bytes:
    """Encode pieces for a host whose clock is another."""
    return msgspec.json.encode(
        PiecesOrder(
            pool=pool,
            asker=pieces[0].asker,
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
                    result_bytes=piece.result_bytes,
                    failure_domain=piece.failure_domain,
                    priority=piece.priority,
                    fingerprint=piece.fingerprint,
                    homes=None if piece.homes is None else tuple(piece.homes),
                )
                for piece in pieces
            ),
        ),
    )


def decode_pieces(order: PiecesOrder, now_ms: float) -> tuple[Piece, ...]:
    """Decode pieces onto this process's clock."""
    return tuple(
        Piece(
            request_id=one.request_id,
            position=one.position,
            number=one.number,
            key=one.key,
            inputs=one.inputs,
            due_ms=now_ms + one.due_in_ms,
            give_up_ms=now_ms + one.give_up_in_ms,
            expires_ms=now_ms + one.expires_in_ms,
            result_bytes=one.result_bytes,
            failure_domain=one.failure_domain,
            priority=one.priority,
            fingerprint=one.fingerprint,
            homes=None if one.homes is None else frozenset(one.homes),
            asker=order.asker,
        )
        for one in order.orders
    )


def encode_results(results: tuple[PieceResult, ...]) -> PiecesResponse:
    """Make the answer to a gateway."""
    return PiecesResponse(
        results=tuple(
            PieceResultMessage(
                outcome=one.outcome,
                handle=one.handle,
                wait_ms=one.wait_ms if math.isfinite(one.wait_ms) else None,
            )
            for one in results
        ),
    )


def decode_results(text: bytes) -> tuple[PieceResult, ...]:
    """
    Decode a host's answer.

    Raises
    ------
    msgspec.DecodeError
        The bytes are no such answer.
    """
    answer = msgspec.json.decode(text, type=PiecesResponse)
    return tuple(
        PieceResult(
            outcome=one.outcome,
            handle=one.handle,
            wait_ms=math.inf if one.wait_ms is None else one.wait_ms,
        )
        for one in answer.results
    )
