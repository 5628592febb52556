"""Steps for result space: where and when results occupy it."""

from behave import given, then, when

from ragworthollow.pieces import (
    RemoteCall,
    StageRun,
    StoredResult,
)
from ragworthollow.pieces.locality import choose_local_domain
from tests.fixtures.piece_pool import (
    DISTANT_EXPIRY_MS,
    NO_ANNOUNCED_PIECES,
    RESULT_BYTES,
    PiecePool,
    make_waiting_piece,
)


@given(
    'another scheduler of the pool reported a call that counts for {left_ms:d} '
    'ms'
)
def record_remote_call(context, left_ms):
    call = RemoteCall(
        instance='i0',
        result_bytes=RESULT_BYTES,
        expires_ms=left_ms,
    )
    context.pool.scheduler.running.record_remote_calls('other', [call])


@then('no call is made at {early:d} ms and one at {late:d} ms')
def check_remote_call(context, early, late):
    context.pool.scheduler.submit(make_waiting_piece(5000))
    assert not context.pool.plan(early)
    (call,) = context.pool.plan(late)
    assert call.instance.instance == 'i0'


@when('a result is released before the scheduler that requested it reports it')
def release_early(context):
    scheduler = context.pool.scheduler
    assert not scheduler.result_space.release('h0', 0)
    scheduler.result_space.add(
        StoredResult(
            handle='h0',
            instance='i0',
            result_bytes=RESULT_BYTES,
            expires_ms=DISTANT_EXPIRY_MS,
        ),
    )


@then('it takes no space in the account')
def check_no_space(context):
    assert not context.pool.scheduler.result_space.get_used_bytes(0)


@when(
    'a stage has {inputs:d} kB to read in domain one and {outputs:d} kB to '
    'pass to domain two'
)
def choose_domain(context, inputs, outputs):
    context.domain = choose_local_domain(
        {'one': inputs * 1e3, 'two': outputs * 1e3}
    )


@then('its pieces are best processed in domain {domain}')
def check_domain(context, domain):
    assert context.domain == ('' if domain == 'anywhere' else domain)


@when(
    '{count:d} pieces wait and one is worked off '
    'every {pace_ms:d} ms for {span_s:d} s',
)
def process_pieces(context, count, pace_ms, span_s):
    scheduler = context.pool.scheduler
    for number in range(count):
        scheduler.submit(make_waiting_piece(DISTANT_EXPIRY_MS + number))
    context.now_ms = 0
    while context.now_ms < span_s * 1000:
        (call,) = context.pool.plan(context.now_ms)
        context.now_ms += pace_ms
        scheduler.finish(call)


@then('a new one expects to wait for more than {least_ms:d} ms')
def check_wait(context, least_ms):
    waits_ms = context.pool.scheduler.estimate_waits_ms(
        context.pool.profile,
        len(context.pool.instances),
        NO_ANNOUNCED_PIECES,
        context.now_ms,
    )
    assert waits_ms[0] > least_ms, waits_ms


@when(
    'requests of {first:d}, {second:d} and {third:d} pieces wait in this order'
)
def queue_requests(context, first, second, third):
    for order, count in enumerate((first, second, third)):
        stage_run = StageRun()
        for number in range(count):
            context.pool.scheduler.submit(
                make_waiting_piece(
                    5000 + order,
                    request_id=f'r{order}',
                    number=number,
                    stage_run=stage_run,
                ),
            )
    (context.call,) = context.pool.plan()


@then('the call carries the pieces of those of {first:d} and {last:d}')
def check_complete_requests(context, first, last):
    carried = [waiting.piece.request_id for waiting in context.call.pieces]
    assert carried.count('r0') == first, carried
    assert carried.count('r2') == last, carried
    assert len(carried) == first + last, carried


@then('the call reports that {limit} kept it from carrying more')
def check_limit(context, limit):
    (call,) = context.calls
    assert call.limit == limit, call.limit
    assert call.remaining_pieces == context.pool.scheduler.get_depth()


@when('1 piece for its own domain and 1 for another that is idle soon wait')
def queue_for_two_domains(context):
    pool = PiecePool(2, 4)
    pool.scheduler.submit(make_waiting_piece(100, failure_domain='two'))
    (busy,) = pool.plan()
    assert busy.instance.failure_domain == 'two'
    pool.scheduler.submit(make_waiting_piece(5000, failure_domain='one'))
    pool.scheduler.submit(make_waiting_piece(5000, failure_domain='two'))
    context.calls = pool.plan(1)
    context.pool = pool
