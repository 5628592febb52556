"""Steps for an instance whose space is taken by results nobody tracks."""

from types import SimpleNamespace

from behave import given, then, when

from ragworthollow.metrics import Metrics
from ragworthollow.pieces import (
    PieceCall,
    PieceOutcome,
    PieceResult,
    StoredResult,
)
from ragworthollow.utils import override_clocks
from ragworthollow_daemon.gateway.call_result_handler import CallResultHandler
from tests.fixtures.piece_pool import (
    DISTANT_EXPIRY_MS,
    RESULT_BYTES,
    PiecePool,
    make_waiting_piece,
)

# An instance that accepts no piece of a call responds at once.
_REFUSAL_MS = 4
_CALL_MS = 200
_RELEASED = 'released'
_RELEASE_MS = 20
_END_MS = 6_000
_LONG_AGO_MS = float('-inf')


class FullInstance:
    """
    Run the scheduler of a pool whose only instance is full for a while.

    Parameters
    ----------
    pool : PiecePool
        The pool.
    full_until_ms : float
        Time until which the instance refuses all pieces.
    started_ms : float
        Start of the gateway that hosts the scheduler.
    """

    def __init__(
        self, *, pool: PiecePool, full_until_ms: float, started_ms: float
    ) -> None:
        self.full_until_ms = full_until_ms
        self.refused_calls_ms: list[float] = []
        self.made = 0
        self._pool = pool
        self._now_ms: float = 0
        self._running: dict[PieceCall, float] = {}
        with override_clocks(lambda: started_ms):
            self._handler = CallResultHandler(
                context=SimpleNamespace(
                    load_tracker=pool.load_tracker,
                    metrics=Metrics(),
                    route_table=SimpleNamespace(
                        pools={'p': SimpleNamespace(pieces=pool.profile)},
                    ),
                    directory=SimpleNamespace(
                        get_pool=lambda _: pool.instances
                    ),
                    get_budget=lambda _: SimpleNamespace(withdraw=lambda: True),
                    quarantine=SimpleNamespace(get_remaining_ms=lambda _: 0),
                ),
                release=lambda *_: None,
            )

    def run(self) -> None:
        with override_clocks(lambda: self._now_ms):
            while self._now_ms < _END_MS:
                if self._now_ms == _RELEASE_MS:
                    space = self._pool.scheduler.result_space
                    space.release(_RELEASED, self._now_ms)
                self._step()
                self._now_ms += 1

    def _step(self) -> None:
        for call, ends_ms in tuple(self._running.items()):
            if ends_ms <= self._now_ms:
                self._end(call)
        for call in self._pool.plan(self._now_ms):
            is_full = self._now_ms < self.full_until_ms
            if is_full:
                self.refused_calls_ms.append(self._now_ms)
            took_ms = _REFUSAL_MS if is_full else _CALL_MS
            self._running[call] = self._now_ms + took_ms

    def _end(self, call: PieceCall) -> None:
        self._running.pop(call)
        self._pool.scheduler.finish(call)
        is_refused = call.started_ms < self.full_until_ms
        self.made += 0 if is_refused else len(call.pieces)
        results = tuple(
            _make_result(call, number, is_refused=is_refused)
            for number in range(len(call.pieces))
        )
        self._handler.record_results('p', self._pool.scheduler, call, results)


def _make_result(
    call: PieceCall, number: int, *, is_refused: bool
) -> PieceResult:
    if is_refused:
        return PieceResult(outcome=PieceOutcome.no_room)
    handle = f'{call.started_ms}/{number}'
    return PieceResult(outcome=PieceOutcome.done, handle=handle)


@given('its gateway has just started and results expire after {ttl_ms:d} ms')
def start_gateway(context, ttl_ms):
    assert context.pool.profile.result_ttl_ms == ttl_ms
    context.started_ms = 0


@when(
    'it is full for {span_ms:d} ms and a tracked result is released while '
    '{count:d} pieces wait'
)
def fill_instance(context, span_ms, count):
    context.pool.scheduler.result_space.add(
        StoredResult(
            handle=_RELEASED,
            instance='i0',
            result_bytes=RESULT_BYTES,
            expires_ms=DISTANT_EXPIRY_MS,
        ),
    )
    for number in range(count):
        context.pool.scheduler.submit(
            make_waiting_piece(DISTANT_EXPIRY_MS, number=number)
        )
    context.count = count
    context.full = FullInstance(
        pool=context.pool,
        full_until_ms=span_ms,
        started_ms=getattr(context, 'started_ms', _LONG_AGO_MS),
    )
    context.full.run()


@then(
    'it gets at most 1 call per {pause_ms:d} ms and 1 for the released result'
)
def check_few_calls(context, pause_ms):
    calls_ms = context.full.refused_calls_ms
    assert calls_ms, 'the instance was not called'
    allowed = context.full.full_until_ms / pause_ms + 1
    assert len(calls_ms) <= allowed, calls_ms


@then('it gets 1 call and 1 for the released result')
def check_two_calls(context):
    calls_ms = context.full.refused_calls_ms
    assert len(calls_ms) == 2, calls_ms


@then('all of them are made afterwards')
def check_made(context):
    assert context.full.made == context.count, context.full.made
