"""Define steps for failure domains that operators drain."""

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
from tests.fixtures.piece_pool import make_waiting_piece
from tests.fixtures.stage_requests import send_stage_requests
from tests.fixtures.throttles import make_throttle

_DRAIN_PREFIX = 'op/evacuate/'
_VALUES = {'an empty mapping': '{}', 'nothing': '', 'broken text': '{"a": '}
_STREAM_EVENTS = 5
# Later than any reading of this machine's monotonic clock.
_FAR_FUTURE_MS = 1e15
# Less than the time limit of these callers: a response within it was not
# delayed until the callers time out.
_IMMEDIATE_S = 3
_ENTRY = (
    '{"backend": "p", "addr": "10.0.0.1:80", "zone": "two", "version": "v1",'
    '"slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1}'
)


def _get_directories(stage) -> list[Directory]:
    return [role.context.directory for role in stage.gateways.values()]


async def _drain(stage, domain: str, text: str | None) -> None:
    await stage.write({f'{_DRAIN_PREFIX}{domain}': text})
    is_drained = text is not None
    await stage.wait_for(
        lambda: all(
            directory.drains.is_drained(domain) is is_drained
            for directory in _get_directories(stage)
        ),
    )


async def _wait_for_pool(stage, pool: str, names: set[str]) -> None:
    await stage.wait_for(
        lambda: all(
            {entry.instance for entry in directory.get_pool(pool)} == names
            for directory in _get_directories(stage)
        ),
    )


@given('u3 in failure domain two')
def add_u3(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('u3', 'plain', failure_domain='two'))
    stage.run(_wait_for_pool(stage, 'plain', {'u1', 'u2', 'u3'}))


@given('s2 for stage work in failure domain two')
def add_s2(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('s2', 'stage', failure_domain='two'))
    stage.run(_wait_for_pool(stage, 'stage', {'s1', 's2'}))


@given('the only instance for stage work is in failure domain two')
def replace_s1(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('s2', 'stage', failure_domain='two'))
    stage.run(stage.remove_instance('s1'))
    stage.run(_wait_for_pool(stage, 'stage', {'s2'}))


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
    stage.run(stage.wait_for_configuration('g9'))


@when('the store stops responding')
def make_store_unavailable(context):
    context.gateway_stage.store.faults.active = {'down': 1}


async def _send(stage, path: str, count: int, gateway: str) -> list:
    loop = asyncio.get_running_loop()
    responses = []
    for _ in range(count):
        began_s = loop.time()
        response = await stage.send(path, gateway=gateway)
        response.took_s = loop.time() - began_s
        responses.append(response)
    return responses


@when('{count:d} requests go to {path:S}')
def send(context, count, path):
    stage = context.gateway_stage
    context.responses = stage.run(_send(stage, path, count, 'g1'))


@when('{count:d} requests go to {path:S} at the new gateway')
def send_to_new_gateway(context, count, path):
    stage = context.gateway_stage
    context.responses = stage.run(_send(stage, path, count, 'g9'))


@when('callers with stage work post {count:d} requests')
def send_stage_work(context, count):
    stage = context.gateway_stage
    loop = stage.loop
    began_s = loop.time()
    context.responses = stage.run(
        send_stage_requests(stage, count, '/staged/answer')
    )
    for response in context.responses:
        response.took_s = loop.time() - began_s


@when('a stream is under way and domain one is drained')
def drain_during_stream(context):
    context.response = context.gateway_stage.run(
        _drain_during_stream(context.gateway_stage),
    )


async def _drain_during_stream(stage):
    sending = asyncio.ensure_future(stage.send('/stream/pause'))
    upstreams = [stage.upstreams[name] for name in ('u1', 'u2')]
    await stage.wait_for(lambda: any(upstream.runs for upstream in upstreams))
    await _drain(stage, 'one', '')
    for upstream in upstreams:
        upstream.resume_event.set()
    return await sending


@when('domain one is drained at all gateways while its pieces are made')
def drain_during_pieces(context):
    context.gateway_stage.run(_drain_during_pieces(context.gateway_stage))


async def _drain_during_pieces(stage) -> None:
    producer = stage.upstreams['s1']
    producer.piece_ms = 300
    sending = asyncio.ensure_future(
        send_stage_requests(stage, 3, '/staged/answer')
    )
    await stage.wait_for(lambda: producer.calls)
    await _drain(stage, 'one', '')
    await sending


@then('{name:w} has got no requests')
@then('nothing has reached {name:w}')
def check_no_arrivals(context, name):
    upstream = context.gateway_stage.upstreams[name]
    assert not upstream.arrivals, [
        arrival.path for arrival in upstream.arrivals
    ]


@then('nothing reached u1 or u2')
def check_neither_reached(context):
    check_no_arrivals(context, 'u1')
    check_no_arrivals(context, 'u2')


@then('{name:w} has got work')
def check_received_work(context, name):
    assert context.gateway_stage.upstreams[name].runs


@then('each caller was served')
def check_served(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses


@then('each caller was refused at once as not run')
def check_refused(context):
    for response in context.responses:
        assert response.status == 503, response
        assert 'Retry-After' in response.headers, response
        assert response.took_s < _IMMEDIATE_S, response


@then('domain_drained was counted for each')
def check_counted(context):
    text = context.gateway_stage.get_context().metrics.render().decode()
    (line,) = [
        candidate
        for candidate in text.splitlines()
        if 'reason="domain_drained"' in candidate and '_total{' in candidate
    ]
    assert float(line.split()[-1]) == len(context.responses), line


@then('the stream is complete')
def check_stream_complete(context):
    assert context.response.status == 200
    assert context.response.is_whole
    assert context.response.body.count(b'data:') == _STREAM_EVENTS


@then('no result was released at {name:w}')
def check_none_released(context, name):
    assert not context.gateway_stage.upstreams[name].released_handles


@when('pieces wait for a pool whose domain is drained')
def queue_in_drained(context):
    context.results = context.gateway_stage.run(
        _queue_in_drained(context.gateway_stage),
    )


async def _queue_in_drained(stage) -> tuple[PieceResult, ...]:
    """Queue a piece behind a call that does not finish before the drain."""
    await stage.add_upstream('s2', 'stage', failure_domain='two')
    await _wait_for_pool(stage, 'stage', {'s2'})

    may_finish = asyncio.Event()

    async def send_when_released(_context, call):
        await may_finish.wait()
        return Ok(
            (PieceResult(outcome=PieceOutcome.failed),) * len(call.pieces)
        )

    async def report_busy(_context, _instance):
        return True

    service = PieceService(
        context=stage.get_context(),
        send=send_when_released,
        query=report_busy,
    )
    runs = [
        asyncio.ensure_future(service.run('stage', [_make_piece(number)]))
        for number in range(2)
    ]
    await asyncio.sleep(0)
    await _drain(stage, 'two', '')
    service.advance('stage')
    results = await asyncio.wait_for(runs[1], _IMMEDIATE_S)
    may_finish.set()
    await runs[0]
    return results


def _make_piece(number: int) -> Piece:
    """Make a piece of the second stage; its first stage has already run."""
    return make_waiting_piece(
        _FAR_FUTURE_MS,
        expires_ms=_FAR_FUTURE_MS,
        number=number,
        inputs=('10.0.0.1:80/1',),
    ).piece


@then('they end at once as drained')
def check_drained(context):
    outcomes = {result.outcome for result in context.results}
    assert outcomes == {PieceOutcome.drained}, outcomes


def _make_subscriber():
    directory = Directory()
    subscriber = InstancesSubscriber(
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
    return subscriber, directory


def _make_entries(*keys: str) -> dict[str, Stored]:
    return {key: Stored(text=_ENTRY, mod_revision=1) for key in keys}


@when('an instance lapses in an outage and its domain is drained')
def expire_and_drain(context):
    subscriber, directory = _make_subscriber()
    listed = _make_entries('servers/i1')
    drained = _make_entries(f'{_DRAIN_PREFIX}two')
    subscriber.apply_entries(listed, 0)
    subscriber.handle_store_unavailable('')
    context.seen = []
    for now_ms, entries in (
        (1000, drained),
        (1200, {**listed, **drained}),
        (1400, drained),
        (1600, {**listed, **drained}),
    ):
        subscriber.apply_entries(entries, now_ms)
        context.seen.append(directory.get_pool('p'))
    subscriber.apply_entries(listed, 1800)
    context.last = directory.get_pool('p')


@then('no list gives it work until the drain ends')
def check_no_work_until_drain_end(context):
    assert not any(context.seen), context.seen
    assert len(context.last) == 1


@when('a gateway notifies another of a drain')
def send_drain_update(context):
    sender, receiver = Replica(), Replica()
    listed = _make_entries('servers/i1')
    for replica in (sender, receiver):
        replica.view.replace(
            StoreSnapshot(entries=listed, revision=1, size_bytes=1),
        )
        replica.freshness.record(0)
    drain_key = f'{_DRAIN_PREFIX}two'
    sender.view.replace(
        StoreSnapshot(
            entries={**listed, drain_key: Stored(mod_revision=2)},
            revision=2,
            size_bytes=1,
        ),
    )
    update = sender.make_update(
        after=StorePosition(revision=1), now_ms=5, max_bytes=100
    )
    receiver.apply_update(update, 5, 5)
    subscriber, context.directory = _make_subscriber()
    subscriber.apply_entries(receiver.view.entries, 5)


@then('the other gateway sends the domain no work')
def check_drain_received(context):
    assert not context.directory.get_pool('p')


@when('operators ask ragworthctl for the instances of that gateway')
def run_instances_command(context):
    command = run_command(instances, context.metrics_address)
    context.output = context.gateway_stage.run(command)


@then('it names domain two, u1 with its limit and what was refused')
def check_instances(context):
    lines = context.output.splitlines()
    assert lines[0].startswith('two  drained for '), lines
    assert lines[1].startswith('u1  plain  warms up for '), lines
    assert 'gets 2 in any second' in lines[1], lines
    assert 'domain_drained  0 requests refused' in lines, lines
    assert 'warming_up  0 requests refused' in lines, lines


@then('it shows that {name:w} accepts {limit:g} requests a second')
def check_limited(context, name, limit):
    lines = context.output.splitlines()
    expected = f'{name}  plain  takes {limit:g} a second as of '
    assert any(line.startswith(expected) for line in lines), lines
    assert 'rate_limited  0 requests refused' in lines, lines
