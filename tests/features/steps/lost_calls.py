"""Steps of calls, results and gateways that are lost."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from measure.fleet_model.virtual_time import VirtualLoop
from ragworthollow.conf import GatewaySettings
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
    FAR_MS,
    RESULT_BYTES,
    PiecePool,
    make_instances,
    make_waiting,
)

_SAYS = {'works on nothing': False, 'works': True}
_ANSWER_MS = 2_000


@given('a call that is overdue')
def make_call(context):
    context.loop = VirtualLoop()
    context.call = PieceCall(
        instance=make_instances(1)[0],
        pieces=(),
        started_ms=0,
        expected_ms=300,
    )


def _watch(context, is_working) -> None:
    async def ask(*_):
        return is_working

    async def follow():
        context.slow = []
        sending = asyncio.ensure_future(asyncio.sleep(_ANSWER_MS / 1000))
        watch = CallMonitor(context=None, query=ask)
        context.is_lost = await watch.monitor(
            context.call,
            sending,
            lambda: context.slow.append(context.loop.get_ms()),
        )
        context.is_answered = sending.done()
        sending.cancel()

    with override_clocks(context.loop.get_ms):
        context.loop.run_until_complete(follow())
    context.ended_ms = context.loop.get_ms()


@when('its instance says that it {state}')
def say(context, state):
    _watch(context, _SAYS[state])


@when('its instance does not say')
def say_nothing(context):
    _watch(context, None)


@then('the call is given up as lost')
def check_lost(context):
    assert context.is_lost
    # Asked once it is a quarter overdue, and an answer may be under way.
    assert context.ended_ms == 300 * 1.25 + 50, context.ended_ms


@then('the call is noted as slow once and ends with its answer')
def check_slow(context):
    assert not context.is_lost
    assert context.is_answered
    (noted_ms,) = context.slow
    assert 300 * 2.5 <= noted_ms < 300 * 3.5, noted_ms


def _make_outcomes(pool: PiecePool) -> CallResultHandler:
    return CallResultHandler(
        context=SimpleNamespace(
            load_tracker=pool.book,
            metrics=Metrics(),
            route_table=SimpleNamespace(
                pools={'p': SimpleNamespace(pieces=pool.profile)},
            ),
            directory=SimpleNamespace(get_pool=lambda _: pool.instances),
            get_budget=lambda _: SimpleNamespace(withdraw=lambda: True),
            mark_suspect=lambda one: pool.book.record_failure(one.instance, 0),
            quarantine=SimpleNamespace(get_remaining_ms=lambda _: 0),
        ),
        release=lambda *_: None,
    )


@when('the answer to a call of {count:d} pieces is lost')
def lose_answer(context, count):
    context.pool = PiecePool(1, 4)
    for _ in range(count):
        context.pool.gate.submit(make_waiting(5000))
    (call,) = context.pool.plan()
    context.pool.gate.finish(call)
    failure = UpstreamFailure(
        outcome=Outcome.unknown,
        reason=Reason.answer_lost,
        step='pieces',
        peer='i0',
    )
    with override_clocks(VirtualLoop().get_ms):
        _make_outcomes(context.pool).record_failure(
            'p',
            context.pool.gate,
            call,
            failure,
        )


@then('its instance is trusted, its pieces wait again')
def check_trusted(context):
    assert context.pool.book.get('i0').suspect_until_ms < 0
    assert context.pool.gate.get_depth() == 2


@then('its space counts {count:d} results more')
def check_counted(context, count):
    used = context.pool.gate.result_space.get_used_bytes(0)
    assert used == {'i0': count * RESULT_BYTES}, used


@given('a gateway with {count:d} results of its requests at this host')
def make_asker(context, count):
    context.askers = RequesterTracker()
    context.askers.record_ping('g2', 'earlier', 0)
    context.pool = PiecePool(1, 4)
    gate = context.pool.gate
    for number in range(count):
        gate.result_space.add(
            StoredResult(
                handle=f'h{number}',
                instance='i0',
                result_bytes=RESULT_BYTES,
                expires_ms=FAR_MS,
                requester='earlier',
            ),
        )
    context.waiting = make_waiting(5000, requester='earlier')
    gate.submit(context.waiting)


@when('another process of its name pings this host')
def ping_anew(context):
    context.askers.record_ping('g2', 'later', 100)


@then('its results are given up and its pieces are wanted no more')
def check_given_up(context):
    (gone,) = context.askers.pop_terminated(100)
    gate = context.pool.gate
    assert gate.result_space.find_handles(gone) == ('h0', 'h1')
    gate.cancel_requester(gone)
    assert not context.waiting.is_awaited
    assert not context.askers.pop_terminated(100)


@then('it counts as gone only after more than a second of silence')
def check_silence(context):
    assert not context.askers.pop_terminated(1000)
    context.askers.record_ping('g2', 'earlier', 1000)
    assert not context.askers.pop_terminated(2000)
    assert context.askers.pop_terminated(2001) == ['earlier']


@given('results of which 2 of 3 are still held')
def hold_results(context):
    context.held = ResultsInUse()
    for handle in ('a', 'b', 'c'):
        context.held.add(
            'p',
            [
                StoredResult(
                    handle=handle,
                    instance='i0',
                    result_bytes=1,
                    expires_ms=FAR_MS,
                ),
            ],
        )
    context.held.remove('p', ['b'])
    # The host that made them knows of them.
    assert not context.held.collect_for_host('p', 'host', 0)


@when('the gate has another host')
def change_host(context):
    context.told = [
        context.held.collect_for_host('p', 'next', 0) for _ in range(2)
    ]


@then('that host is told of 2 results, and of none the next time')
def check_told(context):
    first, second = context.told
    assert [one.handle for one in first] == ['a', 'c'], first
    assert not second


@given('2 instances in two domains with calls of 4 pieces')
def make_two_domains(context):
    context.pool = PiecePool(2, 4)


@when('8 pieces of both domains wait, those of each due in turn')
def wait_in_turn(context):
    for number in range(8):
        domain = ('one', 'two')[number % 2]
        context.pool.gate.submit(
            make_waiting(5000 + number, failure_domain=domain),
        )
    context.calls = context.pool.plan()


@then('each call carries the pieces of its own domain')
def check_own(context):
    assert len(context.calls) == 2
    for call in context.calls:
        domains = {one.piece.failure_domain for one in call.pieces}
        assert domains == {call.instance.failure_domain}, domains
        assert len(call.pieces) == 4


@when('the near instance is busy and a piece for it is due at once')
def make_urgent(context):
    gate = context.pool.gate
    for number in range(4):
        gate.submit(make_waiting(number, failure_domain='two'))
    (busy,) = context.pool.plan()
    assert busy.instance.failure_domain == 'two'
    gate.submit(make_waiting(20, failure_domain='two'))
    for number in range(4):
        gate.submit(make_waiting(30 + number, failure_domain='one'))
    (context.call,) = context.pool.plan(1)


@then('the other instance makes it first')
def check_urgent(context):
    assert context.call.instance.failure_domain == 'one'
    assert context.call.pieces[0].piece.failure_domain == 'two'


@given('members of which the first in rank for a pool answers')
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
    context.first = context.members.find_highest_ranked(context.pool_name)
    context.pings = HostPinger(
        context=SimpleNamespace(),
        members=context.members,
        announced=None,
        apply_update=lambda _news, _asked_ms: False,
    )


def _answer(context, *, can_host: bool) -> None:
    state = HostState(instance=context.first.instance, can_host=can_host)
    context.pings.apply_state(context.first, state)


def _find_host(context) -> str:
    host = context.members.find_host(context.pool_name)
    return 'g0' if host is None else host.instance


@when('it says that it knows no instances')
def say_blind(context):
    _answer(context, can_host=True)
    assert _find_host(context) == context.first.instance
    _answer(context, can_host=False)


@then('the next in rank hosts the gate')
def check_next(context):
    assert _find_host(context) != context.first.instance


@then('it hosts it again when it knows them')
def check_again(context):
    _answer(context, can_host=True)
    assert _find_host(context) == context.first.instance


@when('the loop of a gateway that follows the store ends by an error')
def end_loop(context):
    context.stops = []
    asyncio.run(_end_loop(context.stops))


async def _end_loop(stops: list[bool]) -> None:
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
        request_shutdown=lambda: stops.append(True),
    )
    gateway.spawn_loop(_fail())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await gateway.close()


async def _fail() -> None:
    raise ValueError


@then('the gateway asks to be stopped')
def check_stopped(context):
    assert context.stops == [True]
