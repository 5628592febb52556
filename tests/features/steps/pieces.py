"""Steps for the schedulers that batch pieces into calls."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from ragworthollow.pieces import (
    PieceOutcome,
    StageRun,
    StoredResult,
)
from tests.fixtures.gate_model import GateModel
from tests.fixtures.piece_pool import (
    DISTANT_EXPIRY_MS,
    NO_ANNOUNCED_PIECES,
    PiecePool,
    make_profile,
    make_waiting_piece,
)


@given('a pool of {count:d} instance with calls of {batch:d} {noun}')
def make_pool(context, count, batch, noun):
    context.pool = PiecePool(count, batch)


@given('a pool of 2 instances in domains one and two with calls of 1 piece')
def make_two_domains(context):
    context.pool = PiecePool(2, 1)


@given('space for {results:d} results at each instance')
def limit_result_space(context, results):
    context.pool.profile = make_profile(
        context.pool.profile.batch_limit, results
    )


@when('{count:d} requests submit 1 piece each')
def queue_pieces(context, count):
    for number in range(count):
        context.pool.scheduler.submit(make_waiting_piece(500 + number))
    context.calls = context.pool.plan()


@then('one call carries all {count:d} pieces')
def check_shared(context, count):
    (call,) = context.calls
    assert len(call.pieces) == count


@when('pieces due in {first:d}, {second:d} and {third:d} ms wait')
def queue_three_pieces(context, first, second, third):
    for due_ms in (first, second, third):
        context.pool.scheduler.submit(make_waiting_piece(due_ms))
    context.order = context.pool.run_all()


@when(
    'a piece of priority {low:d} due in {early:d} ms '
    'and one of priority {high:d} due in {late:d} ms wait',
)
def queue_by_priority(context, low, early, high, late):
    context.pool.scheduler.submit(make_waiting_piece(early, priority=low))
    context.pool.scheduler.submit(make_waiting_piece(late, priority=high))
    context.order = context.pool.run_all()


@then('they are called in the order {order}')
def check_order(context, order):
    expected = [float(due) for due in order.split(', ')]
    assert context.order == expected, context.order


@when(
    'a request of 3 pieces due in 900 ms has begun and others due earlier come'
)
def start_request(context):
    stage_run = StageRun()
    scheduler = context.pool.scheduler
    for number in range(3):
        scheduler.submit(
            make_waiting_piece(900, number=number, stage_run=stage_run)
        )
    (call,) = context.pool.plan()
    for due_ms in (100, 200, 300):
        scheduler.submit(make_waiting_piece(due_ms))
    scheduler.finish(call)
    (context.call,) = context.pool.plan()


@then('its last piece is in the next call')
def check_next_call(context):
    due_times_ms = [waiting.piece.due_ms for waiting in context.call.pieces]
    assert due_times_ms == [900, 100], due_times_ms


@then('one call carries {count:d} pieces and {left:d} wait')
def check_call_size(context, count, left):
    (call,) = context.calls
    assert len(call.pieces) == count
    assert context.pool.scheduler.get_depth() == left


@then('the others follow once the results are released')
def check_after_release(context):
    scheduler = context.pool.scheduler
    (call,) = context.calls
    scheduler.finish(call)
    for number, waiting in enumerate(call.pieces):
        scheduler.result_space.add(
            StoredResult(
                handle=f'h{number}',
                instance=call.instance.instance,
                result_bytes=waiting.piece.result_bytes,
                expires_ms=DISTANT_EXPIRY_MS,
            ),
        )
    assert not context.pool.plan()
    assert scheduler.result_space.release('h0', 0) == 'i0'
    assert not scheduler.result_space.release('h0', 0)
    (call,) = context.pool.plan()
    assert len(call.pieces) == 1


@when('a piece for domain two waits while its instance will be idle in 50 ms')
def occupy_local_instance(context):
    scheduler = context.pool.scheduler
    context.pool.instances.reverse()
    scheduler.submit(make_waiting_piece(0, failure_domain='two'))
    (call,) = context.pool.plan()
    assert call.instance.failure_domain == 'two'
    context.now_ms = call.expected_ms - 50


@then(
    'it is held with {long_ms:d} ms of slack '
    'and called at once with {short_ms:d} ms',
)
def check_held(context, long_ms, short_ms):
    now_ms = context.now_ms
    scheduler = context.pool.scheduler
    scheduler.submit(make_waiting_piece(now_ms + long_ms, failure_domain='two'))
    assert not context.pool.plan(now_ms)
    scheduler.submit(
        make_waiting_piece(now_ms + short_ms, failure_domain='two')
    )
    (call,) = context.pool.plan(now_ms)
    assert call.instance.failure_domain == 'one'
    assert call.pieces[0].piece.due_ms == now_ms + short_ms


@when('pieces due in 700 ms keep arriving')
def keep_arriving(context):
    pool = context.pool
    context.lateness = []
    for _ in range(6):
        waiting = make_waiting_piece(700)
        wait_ms = pool.scheduler.estimate_wait_ms(
            pool.profile, 1, waiting.piece, 0
        )
        context.lateness.append(wait_ms - 700)
        pool.scheduler.submit(waiting)
        pool.plan()


@then('the scheduler expects the pieces beyond the third to be late')
def check_lateness(context):
    late = [late_ms > 0 for late_ms in context.lateness]
    assert late == [False, False, False, False, True, True], context.lateness


@when('a piece waits whose caller has disconnected')
def queue_unawaited_piece(context):
    waiting = make_waiting_piece(500)
    context.pool.scheduler.submit(waiting)
    waiting.is_awaited = False


@then('no call is made')
def check_no_call(context):
    assert not context.pool.plan()
    assert not context.pool.scheduler.get_depth()


@when('pieces that have missed their objective by a second wait')
def queue_late_pieces(context):
    context.piece_results = []
    context.pool.instances.clear()
    for inputs in ((), ('10.0.0.1:1/x',)):
        waiting = make_waiting_piece(0, inputs=inputs)
        waiting.on_result = context.piece_results.append
        context.pool.scheduler.submit(waiting)
    context.pool.plan(1000)


@then('the piece without work is abandoned and the piece with inputs is not')
def check_not_run(context):
    (result,) = context.piece_results
    assert result.outcome is PieceOutcome.not_run
    assert context.pool.scheduler.get_depth() == 1


_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('come'), st.integers(1, 6), st.integers(0, 900)),
        st.tuples(st.just('end'), st.integers(0, 5), st.just(0)),
        st.tuples(st.just('fail'), st.integers(0, 5), st.just(0)),
        st.tuples(st.just('free'), st.integers(0, 5), st.just(0)),
    ),
    max_size=40,
)


@when('any pieces arrive, calls end or fail and results are released')
def explore(context):
    context.checked = 0

    @settings(max_examples=150, deadline=None, derandomize=True)
    @for_all(steps=_STEPS)
    def check(steps):
        model = GateModel()
        for kind, number, due_ms in steps:
            getattr(model, kind)(number, due_ms)
            model.check()
        model.drain()
        context.checked += 1

    check()


@then('no piece is lost, doubled or beyond a limit')
def check_explored(context):
    assert context.checked >= 100, context.checked


@when('{urgent:d} pieces of priority 0 and {other:d} of priority 2 wait')
def queue_two_priorities(context, urgent, other):
    for number in range(urgent + other):
        priority = 0 if number < urgent else 2
        context.pool.scheduler.submit(
            make_waiting_piece(5000, priority=priority)
        )


@then(
    'a new one of priority 0 expects {urgent:d} calls before it '
    'and one of 2 all {everything:d}',
)
def check_expected_waits(context, urgent, everything):
    pool = context.pool
    waits_ms = pool.scheduler.estimate_waits_ms(
        pool.profile, 1, NO_ANNOUNCED_PIECES, 0
    )
    call_ms = pool.profile.estimate_ms(1)
    assert waits_ms[0] == urgent * call_ms, waits_ms
    assert waits_ms[2] == everything * call_ms, waits_ms
