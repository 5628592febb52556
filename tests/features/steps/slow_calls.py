"""Steps for slow instances."""

from types import SimpleNamespace

from behave import given, then, when

from ragworthollow.metrics import Metrics
from ragworthollow.pieces import PieceOutcome, PieceResult
from ragworthollow.utils import override_clocks
from ragworthollow_daemon.gateway.call_result_handler import CallResultHandler
from tests.fixtures.piece_pool import (
    DISTANT_EXPIRY_MS,
    PiecePool,
    make_waiting_piece,
)

_DONE = PieceResult(outcome=PieceOutcome.done, handle='10.0.0.1:1/x')
# Simulated time between two scheduling cycles.
_CYCLE_MS = 10


@given('2 instances, of which the first takes {factor:d} times as long')
def make_slow(context, factor):
    context.pool = PiecePool(2, 1)
    context.factor = factor
    context.now_ms = 0
    context.calls_of_slow = []
    pool_config = SimpleNamespace(pieces=context.pool.profile)
    context.result_handler = CallResultHandler(
        context=SimpleNamespace(
            load_tracker=context.pool.load_tracker,
            metrics=Metrics(),
            route_table=SimpleNamespace(pools={'p': pool_config}),
            directory=SimpleNamespace(
                get_pool=lambda _: context.pool.instances,
            ),
            get_budget=lambda _: SimpleNamespace(withdraw=lambda: True),
            quarantine=SimpleNamespace(get_remaining_ms=lambda _: 0),
            mark_suspect=lambda instance: (
                context.pool.load_tracker.record_failure(
                    instance.instance,
                    context.now_ms,
                )
            ),
        ),
        release=lambda *_: None,
    )


@when('pieces keep coming for {span_s:d} s')
def run_calls(context, span_s):
    """Simulate calls, reports of slow calls and completions in time steps."""
    running = []
    with override_clocks(lambda: context.now_ms):
        while context.now_ms < span_s * 1000:
            running = [
                running_call
                for running_call in running
                if _advance(context, running_call)
            ]
            if context.pool.scheduler.get_depth() < 4:
                context.pool.scheduler.submit(
                    make_waiting_piece(DISTANT_EXPIRY_MS)
                )
            for call in context.pool.plan(context.now_ms):
                running.append(SimpleNamespace(call=call, is_reported=False))
                if call.instance.instance == 'i0':
                    context.calls_of_slow.append(context.now_ms)
            context.now_ms += _CYCLE_MS


def _advance(context, running_call) -> bool:
    """Return whether a call still runs; report it as slow or as finished."""
    call = running_call.call
    is_slow = call.instance.instance == 'i0'
    elapsed_ms = context.now_ms - call.started_ms
    if elapsed_ms > 2.5 * call.expected_ms and not running_call.is_reported:
        running_call.is_reported = True
        context.result_handler.record_slow_call(
            'p', context.pool.scheduler, call
        )
    if elapsed_ms < call.expected_ms * (context.factor if is_slow else 1):
        return True
    context.pool.scheduler.finish(call)
    results = tuple(_DONE for _ in call.pieces)
    context.result_handler.record_results(
        'p', context.pool.scheduler, call, results
    )
    return False


@then('the slow one got at most {most:d} calls, each after a longer pause')
def check_calls(context, most):
    starts = context.calls_of_slow
    assert 2 <= len(starts) <= most, starts
    intervals_ms = [
        later - earlier for earlier, later in zip(starts, starts[1:])
    ]
    assert intervals_ms == sorted(intervals_ms), starts
