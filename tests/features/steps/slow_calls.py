"""Steps of instances that are slow."""

from types import SimpleNamespace

from behave import given, then, when

from ragworthollow.metrics import Metrics
from ragworthollow.pieces import PieceOutcome, PieceResult
from ragworthollow.utils import override_clocks
from ragworthollow_daemon.gateway.call_result_handler import CallResultHandler
from tests.fixtures.piece_pool import FAR_MS, PiecePool, make_waiting

_DONE = PieceResult(outcome=PieceOutcome.done, handle='10.0.0.1:1/x')
# How far the clock goes between two checks for a new call.
_STEP_MS = 10


@given('2 instances, of which the first takes {factor:d} times as long')
def make_slow(context, factor):
    context.pool = PiecePool(2, 1)
    context.factor = factor
    context.now_ms = 0
    context.calls_of_slow = []
    described = SimpleNamespace(pieces=context.pool.profile)
    context.outcomes = CallResultHandler(
        context=SimpleNamespace(
            load_tracker=context.pool.book,
            metrics=Metrics(),
            route_table=SimpleNamespace(pools={'p': described}),
            directory=SimpleNamespace(
                get_pool=lambda _: context.pool.instances,
            ),
            get_budget=lambda _: SimpleNamespace(withdraw=lambda: True),
            quarantine=SimpleNamespace(get_remaining_ms=lambda _: 0),
            mark_suspect=lambda instance: context.pool.book.record_failure(
                instance.instance,
                context.now_ms,
            ),
        ),
        release=lambda *_: None,
    )


@when('pieces keep coming for {span_s:d} s')
def play(context, span_s):
    """Play calls, their slowness and their ends in steps of time."""
    running = []
    with override_clocks(lambda: context.now_ms):
        while context.now_ms < span_s * 1000:
            running = [one for one in running if _advance(context, one)]
            if context.pool.gate.get_depth() < 4:
                context.pool.gate.submit(make_waiting(FAR_MS))
            for call in context.pool.plan(context.now_ms):
                running.append(SimpleNamespace(call=call, is_noted=False))
                if call.instance.instance == 'i0':
                    context.calls_of_slow.append(context.now_ms)
            context.now_ms += _STEP_MS


def _advance(context, one) -> bool:
    """Tell whether a call still runs; note that it is slow, or its end."""
    call = one.call
    is_slow = call.instance.instance == 'i0'
    took_ms = context.now_ms - call.started_ms
    if took_ms > 2.5 * call.expected_ms and not one.is_noted:
        one.is_noted = True
        context.outcomes.record_slow_call('p', context.pool.gate, call)
    if took_ms < call.expected_ms * (context.factor if is_slow else 1):
        return True
    context.pool.gate.finish(call)
    found = tuple(_DONE for _ in call.pieces)
    context.outcomes.record_results('p', context.pool.gate, call, found)
    return False


@then('the slow one got at most {most:d} calls, each after a longer pause')
def check_calls(context, most):
    starts = context.calls_of_slow
    assert 2 <= len(starts) <= most, starts
    pauses = [later - earlier for earlier, later in zip(starts, starts[1:])]
    assert pauses == sorted(pauses), starts
