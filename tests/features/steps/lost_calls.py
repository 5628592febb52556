"""Steps for lost calls, results and gateways."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from measure.fleet_model.virtual_time import VirtualLoop
from ragworthollow.conf import GatewaySettings, global_settings
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.metrics import Metrics
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import PieceCall, StoredResult
from ragworthollow.transport.host_messages import HostState
from ragworthollow.utils import override_clocks
from ragworthollow_daemon.gateway.call_monitor import CallMonitor
from ragworthollow_daemon.gateway.call_result_handler import CallResultHandler
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.host_pinger import HostPinger
from ragworthollow_daemon.gateway.requester_tracker import RequesterTracker
from ragworthollow_daemon.gateway.results_in_use import ResultsInUse
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure
from tests.fixtures.piece_pool import (
    DISTANT_EXPIRY_MS,
    RESULT_BYTES,
    PiecePool,
    make_instances,
    make_waiting_piece,
)

_REPORTED_BUSY = {'works on nothing': False, 'works': True}
_RESPONSE_MS = 2_000


@given('a call that is overdue')
def make_call(context):
    context.loop = VirtualLoop()
    context.call = PieceCall(
        instance=make_instances(1)[0],
        pieces=(),
        started_ms=0,
        expected_ms=300,
    )


def _monitor_call(context, is_busy) -> None:
    async def query(*_):
        return is_busy

    async def monitor():
        context.slow_reports_ms = []
        response = asyncio.ensure_future(asyncio.sleep(_RESPONSE_MS / 1000))
        call_monitor = CallMonitor(context=None, query=query)
        context.is_lost = await call_monitor.monitor(
            context.call,
            response,
            lambda: context.slow_reports_ms.append(context.loop.get_ms()),
        )
        context.has_response = response.done()
        response.cancel()

    with override_clocks(context.loop.get_ms):
        context.loop.run_until_complete(monitor())
    context.ended_ms = context.loop.get_ms()


@when('its instance reports that it {state}')
def report_busy_state(context, state):
    _monitor_call(context, _REPORTED_BUSY[state])


@when('its instance does not report its state')
def report_nothing(context):
    _monitor_call(context, None)


@then('the call is abandoned as lost')
def check_lost(context):
    assert context.is_lost
    # Queried once the call is a quarter overdue; the 50 ms are for a response
    # that may still be in transit.
    assert context.ended_ms == 300 * 1.25 + 50, context.ended_ms


@then('the call is recorded as slow once and ends with its response')
def check_slow(context):
    assert not context.is_lost
    assert context.has_response
    (reported_ms,) = context.slow_reports_ms
    assert 300 * 2.5 <= reported_ms < 300 * 3.5, reported_ms


def _make_result_handler(pool: PiecePool) -> CallResultHandler:
    return CallResultHandler(
        context=SimpleNamespace(
            load_tracker=pool.load_tracker,
            metrics=Metrics(),
            route_table=SimpleNamespace(
                pools={'p': SimpleNamespace(pieces=pool.profile)},
            ),
            directory=SimpleNamespace(get_pool=lambda _: pool.instances),
            get_budget=lambda _: SimpleNamespace(withdraw=lambda: True),
            mark_suspect=lambda instance: pool.load_tracker.record_failure(
                instance.instance, 0
            ),
            quarantine=SimpleNamespace(get_remaining_ms=lambda _: 0),
        ),
        release=lambda *_: None,
    )


@when('the response to a call of {count:d} pieces is lost')
def lose_response(context, count):
    context.pool = PiecePool(1, 4)
    for _ in range(count):
        context.pool.scheduler.submit(make_waiting_piece(5000))
    (call,) = context.pool.plan()
    context.pool.scheduler.finish(call)
    failure = UpstreamFailure(
        outcome=Outcome.unknown,
        reason=Reason.answer_lost,
        step='pieces',
        peer='i0',
    )
    with override_clocks(VirtualLoop().get_ms):
        _make_result_handler(context.pool).record_failure(
            'p',
            context.pool.scheduler,
            call,
            failure,
        )


@then('its instance is not suspected and its pieces are queued again')
def check_trusted(context):
    assert context.pool.load_tracker.get('i0').suspect_until_ms < 0
    assert context.pool.scheduler.get_depth() == 2


@then('its result space counts {count:d} more results')
def check_counted(context, count):
    used = context.pool.scheduler.result_space.get_used_bytes(0)
    assert used == {'i0': count * RESULT_BYTES}, used


@given('a gateway with {count:d} results of its requests at this host')
def make_requester(context, count):
    context.requester_tracker = RequesterTracker()
    context.requester_tracker.record_ping('g2', 'earlier', 0)
    context.pool = PiecePool(1, 4)
    scheduler = context.pool.scheduler
    for number in range(count):
        scheduler.result_space.add(
            StoredResult(
                handle=f'h{number}',
                instance='i0',
                result_bytes=RESULT_BYTES,
                expires_ms=DISTANT_EXPIRY_MS,
                requester='earlier',
            ),
        )
    context.waiting = make_waiting_piece(5000, requester='earlier')
    scheduler.submit(context.waiting)


@when('another process of its name pings this host')
def ping_from_new_incarnation(context):
    context.requester_tracker.record_ping('g2', 'later', 100)


@then('its results are released and its pieces are no longer awaited')
def check_released(context):
    (terminated,) = context.requester_tracker.pop_terminated(100)
    scheduler = context.pool.scheduler
    assert scheduler.result_space.find_handles(terminated) == ('h0', 'h1')
    scheduler.cancel_requester(terminated)
    assert not context.waiting.is_awaited
    assert not context.requester_tracker.pop_terminated(100)


@then('it counts as terminated only after more than a second without a ping')
def check_terminated_when_silent(context):
    for now_ms in range(0, 1001, global_settings.SCHEDULER_TICK_MS):
        assert not context.requester_tracker.pop_terminated(now_ms)
    context.requester_tracker.record_ping('g2', 'earlier', 1000)
    for later_ms in range(1000, 2001, global_settings.SCHEDULER_TICK_MS):
        assert not context.requester_tracker.pop_terminated(later_ms)
    assert context.requester_tracker.pop_terminated(2001) == ['earlier']


@given('results of which 2 of 3 are still in use')
def hold_results(context):
    context.results_in_use = ResultsInUse()
    for handle in ('a', 'b', 'c'):
        context.results_in_use.add(
            'p',
            [
                StoredResult(
                    handle=handle,
                    instance='i0',
                    result_bytes=1,
                    expires_ms=DISTANT_EXPIRY_MS,
                ),
            ],
        )
    context.results_in_use.remove('p', ['b'])
    # The host that scheduled their calls has recorded them already.
    assert not context.results_in_use.collect_for_host('p', 'host', 0)


@when('the scheduler has another host')
def change_host(context):
    context.reported_results = [
        context.results_in_use.collect_for_host('p', 'next', 0)
        for _ in range(2)
    ]


@then('that host is notified of 2 results, and of none the next time')
def check_reported(context):
    first, second = context.reported_results
    assert [result.handle for result in first] == ['a', 'c'], first
    assert not second


@given('2 instances in two domains with calls of 4 pieces')
def make_two_domains(context):
    context.pool = PiecePool(2, 4)


@when('8 pieces of both domains wait, those of each due in turn')
def queue_alternating_domains(context):
    for number in range(8):
        domain = ('one', 'two')[number % 2]
        context.pool.scheduler.submit(
            make_waiting_piece(5000 + number, failure_domain=domain),
        )
    context.calls = context.pool.plan()


@then('each call carries the pieces of its own domain')
def check_own_domain(context):
    assert len(context.calls) == 2
    for call in context.calls:
        domains = {waiting.piece.failure_domain for waiting in call.pieces}
        assert domains == {call.instance.failure_domain}, domains
        assert len(call.pieces) == 4


@when('the local instance is busy and a piece for it is due at once')
def queue_urgent_piece(context):
    scheduler = context.pool.scheduler
    for number in range(4):
        scheduler.submit(make_waiting_piece(number, failure_domain='two'))
    (busy,) = context.pool.plan()
    assert busy.instance.failure_domain == 'two'
    scheduler.submit(make_waiting_piece(20, failure_domain='two'))
    for number in range(4):
        scheduler.submit(make_waiting_piece(30 + number, failure_domain='one'))
    (context.call,) = context.pool.plan(1)


@then('the other instance processes it first')
def check_urgent(context):
    assert context.call.instance.failure_domain == 'one'
    assert context.call.pieces[0].piece.failure_domain == 'two'


@given('members of which the first in rank for a pool responds')
def make_members(context):
    context.members = GatewayMembers(instance='g0')
    context.members.replace(
        GatewayMember(
            instance=name,
            incarnation=name,
            peer_address=name,
            failure_domain='one',
        )
        for name in ('g0', 'g1', 'g2', 'g3')
    )
    context.pool_name = next(
        name
        for name in map(str, range(100))
        if context.members.find_highest_ranked(name).instance != 'g0'
    )
    context.first_ranked = context.members.find_highest_ranked(
        context.pool_name
    )
    context.host_pinger = HostPinger(
        context=SimpleNamespace(),
        members=context.members,
        announced=None,
        apply_update=lambda _update, _sent_ms: False,
    )


def _apply_host_state(context, *, can_host: bool) -> None:
    state = HostState(instance=context.first_ranked.instance, can_host=can_host)
    context.host_pinger.apply_state(context.first_ranked, state)


def _find_host(context) -> str:
    host = context.members.find_host(context.pool_name)
    return 'g0' if host is None else host.instance


@when('it reports that it knows no instances')
def report_no_instances(context):
    _apply_host_state(context, can_host=True)
    assert _find_host(context) == context.first_ranked.instance
    _apply_host_state(context, can_host=False)


@then('the next in rank hosts the scheduler')
def check_next_host(context):
    assert _find_host(context) != context.first_ranked.instance


@then('it hosts it again when it knows them')
def check_first_host(context):
    _apply_host_state(context, can_host=True)
    assert _find_host(context) == context.first_ranked.instance


@when('the loop of a gateway that polls the store ends with an error')
def end_loop(context):
    context.shutdown_requests = []
    asyncio.run(_end_loop(context.shutdown_requests, is_stopping=False))


@when('a loop of a gateway that is already stopping ends with an error')
def end_loop_while_stopping(context):
    context.shutdown_requests = []
    asyncio.run(_end_loop(context.shutdown_requests, is_stopping=True))


async def _end_loop(
    shutdown_requests: list[bool], *, is_stopping: bool, loops: int = 1
) -> None:
    settings = GatewaySettings(
        role='gateway',
        instance='g1',
        failure_domain='one',
        front_address='',
        ready_address='',
        peer_address='',
        store_url='http://127.0.0.1:1',
    )
    gateway = GatewayContext(
        settings=settings,
        request_shutdown=lambda: shutdown_requests.append(True),
    )
    gateway.drain.is_draining = is_stopping
    for _ in range(loops):
        gateway.spawn_loop(_fail())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await gateway.close()


@when('two loops of a gateway end with an error at the same moment')
def end_two_loops(context):
    context.shutdown_requests = []
    asyncio.run(
        _end_loop(context.shutdown_requests, is_stopping=False, loops=2)
    )


async def _fail() -> None:
    raise ValueError


@then('the gateway requests its shutdown')
def check_shutdown_requested(context):
    assert context.shutdown_requests == [True]


@then('the gateway requests no second shutdown')
def check_no_second_shutdown(context):
    assert not context.shutdown_requests
