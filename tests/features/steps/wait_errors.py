"""Define steps for the learned error of expected waits."""

from behave import given, then

from tests.fixtures.piece_pool import (
    DISTANT_EXPIRY_MS,
    NO_ANNOUNCED_PIECES,
    PiecePool,
    make_waiting_piece,
)

_SPAN_MS = 500
_QUEUED = 8


def _record_errors(context, error_ms: float, count: int) -> None:
    context.pool = PiecePool(1, 4)
    for number in range(1, count + 1):
        now_ms = number * _SPAN_MS / count
        context.pool.scheduler.wait_error.record(error_ms, now_ms)


@given(
    'stages that took {error_ms:d} ms longer than expected, '
    '{count:d} in half a second'
)
def record_longer(context, error_ms, count):
    _record_errors(context, error_ms, count)


@given(
    'stages that took {error_ms:d} ms less than expected, '
    '{count:d} in half a second'
)
def record_shorter(context, error_ms, count):
    _record_errors(context, -error_ms, count)


def _estimate_ms(pool: PiecePool, now_ms: float) -> float:
    waits_ms = pool.scheduler.estimate_waits_ms(
        pool.profile, len(pool.instances), NO_ANNOUNCED_PIECES, now_ms
    )
    return waits_ms[0]


def _queue_pieces(pool: PiecePool) -> None:
    for number in range(_QUEUED):
        pool.scheduler.submit(make_waiting_piece(DISTANT_EXPIRY_MS + number))


def _get_error_ms(context, now_ms: float) -> float:
    reference = PiecePool(1, 4)
    _queue_pieces(reference)
    return _estimate_ms(context.pool, now_ms) - _estimate_ms(reference, now_ms)


@then('a wait is expected to be {error_ms:d} ms longer than by the queue alone')
def check_error(context, error_ms):
    _queue_pieces(context.pool)
    assert round(_get_error_ms(context, _SPAN_MS)) == error_ms


@then('5 s later only as long as by the queue')
def check_forgotten(context):
    assert _get_error_ms(context, _SPAN_MS + 5000) == 0


@then('without a queue no wait is expected')
def check_idle(context):
    assert _estimate_ms(context.pool, _SPAN_MS) == 0
