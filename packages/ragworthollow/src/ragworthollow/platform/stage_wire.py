"""Encode and decode batch requests for pieces of stages."""

import enum

import msgspec

from ragworthollow.pieces.piece import Piece, PieceOutcome, PieceResult
from ragworthollow.utils import decode_json
from ragworthollow.utils.message import Message

RUN_PATH = '/api/stage-run'
RELEASE_RESULTS_PATH = '/api/stage-free'
REPORT_PATH = '/api/report'
EXPECT_INSTANCE = 'X-Ragworthollow-Expect-Instance'


class _Reason(enum.StrEnum):
    """Enumerate the reasons why a piece has no result."""

    late = 'late'
    gone = 'gone'
    room = 'room'
    error = 'error'


class _Item(Message):
    """
    Request one piece.

    `id` identifies the request, `stage` is the position of the stage,
    `left_ms` the time after which the piece need not start, `key` the input of
    stages without `inputs`, and `inputs` the handles of earlier results.
    """

    request_id: str = msgspec.field(name='id')
    position: int = msgspec.field(name='stage')
    piece: int
    left_ms: int
    key: str = ''
    inputs: tuple[str, ...] = ()


class _RunRequest(Message):
    items: tuple[_Item, ...]


class _ItemResponse(Message):
    """
    Hold the handle of a result, or the reason for its absence.

    The reason may be one that this version does not know; it must not make
    the results of the other pieces unreadable.
    """

    handle: str = ''
    reason: str | None = None


class _RunResponse(Message):
    items: tuple[_ItemResponse, ...]


class _ReleaseRequest(Message):
    handles: tuple[str, ...]


class _Report(Message):
    """Hold the number of calls in progress (`busy`) and in the queue."""

    busy: int
    waiting: int


_OUTCOMES = {
    _Reason.late: PieceOutcome.late,
    _Reason.gone: PieceOutcome.input_gone,
    _Reason.room: PieceOutcome.no_room,
    _Reason.error: PieceOutcome.failed,
}


def encode_run(pieces: tuple[Piece, ...], now_ms: float) -> bytes:
    """
    Encode one batch request.

    Parameters
    ----------
    pieces : tuple of Piece
        Pieces in the order in which their results are needed.
    now_ms : float
        Current time on the monotonic clock in milliseconds.
    """
    return msgspec.json.encode(
        _RunRequest(
            items=tuple(
                _Item(
                    request_id=piece.request_id,
                    position=piece.position,
                    piece=piece.number,
                    left_ms=max(1, int(piece.expires_ms - now_ms)),
                    key=piece.key,
                    inputs=piece.inputs,
                )
                for piece in pieces
            ),
        ),
    )


def decode_run(text: bytes) -> tuple[PieceResult, ...]:
    """
    Decode the response to one batch request.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not a valid response.
    """
    response = decode_json(text, _RunResponse)
    return tuple(
        PieceResult(
            handle=item.handle,
            outcome=(
                PieceOutcome.done
                if item.handle
                else _OUTCOMES.get(item.reason, PieceOutcome.failed)
            ),
        )
        for item in response.items
    )


def get_producer_address(handle: str) -> str:
    """Return the address in a handle, which starts with `IP:PORT/`."""
    return handle.partition('/')[0]


def decode_is_busy(text: bytes) -> bool:
    """
    Return whether an instance reports calls in progress or in the queue.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not a valid report.
    """
    report = decode_json(text, _Report)
    return bool(report.busy or report.waiting)


def encode_release(handles: tuple[str, ...]) -> bytes:
    """Encode the request that releases results."""
    return msgspec.json.encode(_ReleaseRequest(handles=handles))
