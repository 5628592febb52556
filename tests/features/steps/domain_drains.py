"""Steps of failure domains that operators drain."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from result import Ok

from ragworthollow.metrics import Metrics
from ragworthollow.pieces import Piece, PieceOutcome, PieceResult
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.platform.stored import Stored
from ragworthollow.replica import Replica
from ragworthollow.upstreams import Directory, LoadTracker
from ragworthollow_ctl.commands.instances import instances
from ragworthollow_daemon.gateway.instances_subscriber import (
    InstancesSubscriber,
)
from ragworthollow_daemon.gateway.piece_service import PieceService
from tests.fixtures.commands import run_command
from tests.fixtures.gateways import make_settings
from tests.fixtures.piece_pool import make_waiting
from tests.fixtures.staged import send_staged
from tests.fixtures.throttles import make_throttle

_PREFIX = 'op/evacuate/'
_VALUES = {'an empty mapping': '{}', 'nothing': '', 'broken text': '{"a": '}
_EVENTS = 5
# Beyond any time of this machine's monotonic clock.
_NEVER_MS = 1e15
# Less than the time that these callers have: an answer within it was not
# held back until they leave.
_AT_ONCE_S = 3
_ENTRY = (
    '{"backend": "p", "addr": "10.0.0.1:80", "zone": "two", "version": "v1",'
    '"slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1}'
)


def _get_directories(stage) -> list[Directory]:
    return [role.context.directory for role in stage.gateways.values()]


async def _drain(stage, domain: str, text: str | None) -> None:
    await stage.write({f'{_PREFIX}{domain}': text})
    is_drained = text is not None
    await stage.wait_for(
        lambda: all(
            one.drains.is_drained(domain) is is_drained
            for one in _get_directories(stage)
        ),
    )


async def _wait_listed(stage, pool: str, names: set[str]) -> None:
    await stage.wait_for(
        lambda: all(
            {entry.instance for entry in one.get_pool(pool)} == names
            for one in _get_directories(stage)
        ),
    )


@given('u3 in failure domain two')
def add_u3(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('u3', 'plain', failure_domain='two'))
    stage.run(_wait_listed(stage, 'plain', {'u1', 'u2', 'u3'}))


@given('s2 for stage work in failure domain two')
def add_s2(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('s2', 'stage', failure_domain='two'))
    stage.run(_wait_listed(stage, 'stage', {'s1', 's2'}))


@given('the only instance for stage work is in failure domain two')
def replace_s1(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('s2', 'stage', failure_domain='two'))
    stage.run(stage.hide('s1'))
    stage.run(_wait_listed(stage, 'stage', {'s2'}))


@given('domain {domain:w} is drained with {value}')
@when('domain {domain:w} is drained with {value}')
def drain(context, domain, value):
    stage = context.gateway_stage
    stage.run(_drain(stage, domain, _VALUES[value]))


@when('domain {domain:w} is restored')
def restore(context, domain):
    context.gateway_stage.run(_drain(context.gateway_stage, domain, None))


@when('another gateway starts')
def add_gateway(context):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('g9'))
    stage.run(stage.wait_configured('g9'))


@when('the store falls silent')
def silence_store(context):
    context.gateway_stage.store.faults.active = {'down': 1}


async def _send(stage, path: str, count: int, gateway: str) -> list:
    loop = asyncio.get_running_loop()
    answers = []
    for _ in range(count):
        began_s = loop.time()
        answer = await stage.send(path, gateway=gateway)
        answer.took_s = loop.time() - began_s
        answers.append(answer)
    return answers


@when('{count:d} requests go to {path:S}')
def send(context, count, path):
    stage = context.gateway_stage
    context.answers = stage.run(_send(stage, path, count, 'g1'))


@when('{count:d} requests go to {path:S} at the new gateway')
def send_new(context, count, path):
    stage = context.gateway_stage
    context.answers = stage.run(_send(stage, path, count, 'g9'))


@when('callers with stage work post {count:d} requests')
def send_stage_work(context, count):
    stage = context.gateway_stage
    loop = stage.loop
    began_s = loop.time()
    context.answers = stage.run(send_staged(stage, count, '/staged/answer'))
    for answer in context.answers:
        answer.took_s = loop.time() - began_s


@when('a stream is under way and domain one is drained')
def drain_under_stream(context):
    context.answer = context.gateway_stage.run(
        _drain_under_stream(context.gateway_stage),
    )


async def _drain_under_stream(stage):
    sending = asyncio.ensure_future(stage.send('/stream/pause'))
    upstreams = [stage.upstreams[name] for name in ('u1', 'u2')]
    await stage.wait_for(lambda: any(one.runs for one in upstreams))
    await _drain(stage, 'one', '')
    for one in upstreams:
        one.may_go_on.set()
    return await sending


@when('domain one is drained at all gateways while its pieces are made')
def drain_under_pieces(context):
    context.gateway_stage.run(_drain_under_pieces(context.gateway_stage))


async def _drain_under_pieces(stage) -> None:
    maker = stage.upstreams['s1']
    maker.piece_ms = 300
    sending = asyncio.ensure_future(send_staged(stage, 3, '/staged/answer'))
    await stage.wait_for(lambda: maker.calls)
    await _drain(stage, 'one', '')
    await sending


@then('{name:w} has got nothing')
@then('nothing has reached {name:w}')
def check_nothing(context, name):
    upstream = context.gateway_stage.upstreams[name]
    assert not upstream.arrivals, [one.path for one in upstream.arrivals]


@then('nothing reached u1 or u2')
def check_neither(context):
    check_nothing(context, 'u1')
    check_nothing(context, 'u2')


@then('{name:w} has got work')
def check_work(context, name):
    assert context.gateway_stage.upstreams[name].runs


@then('each caller was served')
def check_served(context):
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200}, statuses


@then('each caller was refused at once as not run')
def check_refused(context):
    for answer in context.answers:
        assert answer.status == 503, answer
        assert 'Retry-After' in answer.headers, answer
        assert answer.took_s < _AT_ONCE_S, answer


@then('domain_drained was counted for each')
def check_counted(context):
    text = context.gateway_stage.get_context().metrics.render().decode()
    (line,) = [
        one
        for one in text.splitlines()
        if 'reason="domain_drained"' in one and '_total{' in one
    ]
    assert float(line.split()[-1]) == len(context.answers), line


@then('the stream ends whole')
def check_whole(context):
    assert context.answer.status == 200
    assert context.answer.is_whole
    assert context.answer.body.count(b'data:') == _EVENTS


@then('no result was given up at {name:w}')
def check_none_freed(context, name):
    assert not context.gateway_stage.upstreams[name].freed


@when('pieces wait for a pool whose domain is drained')
def wait_in_drained(context):
    context.found = context.gateway_stage.run(
        _wait_in_drained(context.gateway_stage),
    )


async def _wait_in_drained(stage) -> tuple[PieceResult, ...]:
    """Queue a piece behind a call that never ends."""
    await stage.add_upstream('s2', 'stage', failure_domain='two')
    await _wait_listed(stage, 'stage', {'s2'})

    is_over = asyncio.Event()

    async def hang(_context, call):
        await is_over.wait()
        return Ok(
            (PieceResult(outcome=PieceOutcome.failed),) * len(call.pieces)
        )

    async def deny(_context, _instance):
        return True

    service = PieceService(
        context=stage.get_context(),
        send=hang,
        query=deny,
    )
    runs = [
        asyncio.ensure_future(service.run('stage', [_make_piece(number)]))
        for number in range(2)
    ]
    await asyncio.sleep(0)
    await _drain(stage, 'two', '')
    service.advance('stage')
    found = await asyncio.wait_for(runs[1], _AT_ONCE_S)
    is_over.set()
    await runs[0]
    return found


def _make_piece(number: int) -> Piece:
    """Make a piece of a second stage, whose first one has been paid for."""
    return make_waiting(
        _NEVER_MS,
        expires_ms=_NEVER_MS,
        number=number,
        inputs=('10.0.0.1:80/1',),
    ).piece


@then('they end at once as drained')
def check_drained(context):
    outcomes = {one.outcome for one in context.found}
    assert outcomes == {PieceOutcome.drained}, outcomes


def _make_follower():
    directory = Directory()
    follower = InstancesSubscriber(
        context=SimpleNamespace(
            directory=directory,
            load_tracker=LoadTracker(),
            metrics=Metrics(),
            throttle=make_throttle(),
            settings=make_settings(),
            route_table=None,
        ),
        on_change=lambda: None,
        on_restart=lambda _: None,
    )
    return follower, directory


def _store(*keys: str) -> dict[str, Stored]:
    return {key: Stored(text=_ENTRY, mod_revision=1) for key in keys}


@when('an instance lapses in an outage and its domain is drained')
def lapse_and_drain(context):
    follower, directory = _make_follower()
    listed = _store('servers/i1')
    drained = _store(f'{_PREFIX}two')
    follower.apply_entries(listed, 0)
    follower.handle_store_unavailable('')
    context.seen = []
    for now_ms, found in (
        (1000, drained),
        (1200, {**listed, **drained}),
        (1400, drained),
        (1600, {**listed, **drained}),
    ):
        follower.apply_entries(found, now_ms)
        context.seen.append(directory.get_pool('p'))
    follower.apply_entries(listed, 1800)
    context.last = directory.get_pool('p')


@then('no list gives it work until the drain ends')
def check_lapsed(context):
    assert not any(context.seen), context.seen
    assert len(context.last) == 1


@when('a gateway tells another of a drain')
def tell_of_drain(context):
    teller, hearer = Replica(), Replica()
    listed = _store('servers/i1')
    for replica in (teller, hearer):
        replica.view.replace(
            StoreSnapshot(entries=listed, revision=1, size_bytes=1),
        )
        replica.freshness.record(0)
    drain_key = f'{_PREFIX}two'
    teller.view.replace(
        StoreSnapshot(
            entries={**listed, drain_key: Stored(mod_revision=2)},
            revision=2,
            size_bytes=1,
        ),
    )
    news = teller.make_update(
        after=StorePosition(revision=1), now_ms=5, max_bytes=100
    )
    hearer.apply_update(news, 5, 5)
    follower, context.directory = _make_follower()
    follower.apply_entries(hearer.view.entries, 5)


@then('the other one gives the domain nothing')
def check_heard(context):
    assert not context.directory.get_pool('p')


@when('operators ask ragworthctl for the instances of that gateway')
def ask_instances(context):
    shown = run_command(instances, context.asked)
    context.written = context.gateway_stage.run(shown)


@then('it names domain two, u1 with its limit and what was refused')
def check_instances(context):
    lines = context.written.splitlines()
    assert lines[0].startswith('two  drained for '), lines
    assert lines[1].startswith('u1  plain  warms up for '), lines
    assert 'gets 2 in any second' in lines[1], lines
    assert 'domain_drained  0 requests refused' in lines, lines
    assert 'warming_up  0 requests refused' in lines, lines


@then('it says that {name:w} takes {limit:g} a second')
def check_limited(context, name, limit):
    lines = context.written.splitlines()
    expected = f'{name}  plain  takes {limit:g} a second as of '
    assert any(line.startswith(expected) for line in lines), lines
    assert 'rate_limited  0 requests refused' in lines, lines
