"""Define steps for the store records and incarnations of instances."""

import asyncio
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from result import Ok

from ragworthollow.pieces import PieceOutcome, PieceResult, StoredResult
from ragworthollow.platform.instances_wire import decode_instance
from ragworthollow.platform.stored import Stored
from ragworthollow.upstreams import Directory, LoadTracker, UpstreamInstance
from ragworthollow_daemon.gateway.instances_subscriber import (
    InstancesSubscriber,
)
from ragworthollow_daemon.gateway.piece_service import PieceService
from tests.fixtures.gateways import make_settings
from tests.fixtures.piece_pool import make_waiting_piece
from tests.fixtures.throttles import make_throttle

_ENTRY = {
    'backend': 'p',
    'addr': '10.0.0.1:80',
    'zone': 'one',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 1,
    'born': 1_700_000_000_000,
}
_FIELDS = {
    'pool': 'backend',
    'address': 'addr',
    'failure domain': 'zone',
    'software version': 'version',
    'slots': 'slots',
    'state': 'state',
    'time to be warm': 'cold_left_ms',
    'count of reports': 'seq',
}
_INVALID_FIELDS = {
    'with 0 slots': {'slots': 0},
    'with slots as text': {'slots': '4'},
    'with slots as a truth value': {'slots': True},
    'with slots beyond any float': {'slots': 10**400},
    'with slots beyond 64 bits': {'slots': 2**64},
    'with a start beyond any float': {'born': 10**400},
    'with a count beyond any float': {'seq': 10**400},
    'with a warmth beyond 64 bits': {'cold_left_ms': 1e30},
    'with an unknown state': {'state': 'resting'},
    'with a name as its address': {'addr': 'host:80'},
    'with port 0': {'addr': '10.0.0.1:0'},
    'with a port of 5000 digits': {'addr': f'10.0.0.1:{"9" * 5000}'},
    # Unicode digits that `int` would accept.
    'with a port of other digits': {'addr': '10.0.0.1:\u0668\u0660'},
    'with a broken start': {'born': 1.5},
}
_INVALID_BYTES = {
    'as bytes that are no text': b'{"backend": "\xff\xfe"}',
    'as an endless list': b'{"models": ' + b'[' * 100_000,
    'as nothing at all': b'',
}
_CALL_MS = 20_000
# Later than any reading of this machine's monotonic clock.
_FAR_FUTURE_MS = 1e15


def _make_entry(change: str) -> bytes:
    text = _INVALID_BYTES.get(change)
    if text is not None:
        return text
    if change.startswith('without its '):
        removed = _FIELDS[change.removeprefix('without its ')]
        remaining = {
            name: value for name, value in _ENTRY.items() if name != removed
        }
        return msgspec.json.encode(remaining)
    return msgspec.json.encode({**_ENTRY, **_INVALID_FIELDS[change]})


def _make_subscriber(load_tracker=None):
    directory = Directory()
    subscriber = InstancesSubscriber(
        context=SimpleNamespace(
            directory=directory,
            load_tracker=load_tracker or LoadTracker(),
            throttle=make_throttle(),
            settings=make_settings(),
            route_table=None,
        ),
        on_change=lambda: None,
        on_restart=lambda _: None,
    )
    return subscriber, directory


def _make_entries(**texts: bytes) -> dict[str, Stored]:
    return {
        f'servers/{name}': Stored(
            text=text.decode(errors='replace'),
            mod_revision=1,
        )
        for name, text in texts.items()
    }


@when('a record arrives {change}')
def receive_entry(context, change):
    subscriber, context.directory = _make_subscriber()
    entries = _make_entries(
        good=msgspec.json.encode(_ENTRY), bad=_make_entry(change)
    )
    for confirmed_ms in (0, 600, 1200):
        subscriber.apply_entries(entries, confirmed_ms)


@given('a record of another writer in the pool plain, {change}')
def write_foreign_record(context, change):
    stage = context.gateway_stage
    addresses = {'addr': stage.upstreams['u1'].address, 'backend': 'plain'}
    entry = {**_ENTRY, **addresses, **_INVALID_FIELDS[change]}
    text = msgspec.json.encode(entry).decode()
    stage.run(stage.write({'servers/foreign': text}))
    stage.run(stage.wait_for_reads(1))


@then('{count:d} requests to {path:S} are answered by its instances')
def check_all_served(context, count, path):
    stage = context.gateway_stage
    responses = [stage.run(stage.send(path)) for _ in range(count)]
    statuses = {response.status for response in responses}
    assert statuses == {200}, statuses


@then('it names no instance, and this is logged once')
def check_no_instance(context):
    (listed,) = context.directory.get_pool('p')
    assert listed.instance == 'good'
    rejected = [
        fields['peer']
        for event, fields in context.log_lines
        if event == 'instance_entry_unreadable'
    ]
    assert rejected == ['servers/bad'], rejected


_JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
_RECORD_TEXTS = st.one_of(
    st.binary(),
    st.dictionaries(st.sampled_from(sorted(_ENTRY)), _JSON_VALUES).map(
        lambda changes: msgspec.json.encode({**_ENTRY, **changes}),
    ),
    # Python converts at most 4,300 digits.
    st.integers(0, 10_000).map(
        lambda digits: msgspec.json.encode(
            {**_ENTRY, 'addr': f'10.0.0.1:{"9" * digits}'}
        ),
    ),
)


@then('any bytes in one record leave the other records unchanged')
def check_others_unaffected(context):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(text=_RECORD_TEXTS)
    def check(text):
        subscriber, directory = _make_subscriber()
        subscriber.apply_entries(
            _make_entries(good=msgspec.json.encode(_ENTRY), odd=text), 0
        )
        names = [instance.instance for instance in directory.get_pool('p')]
        assert 'good' in names, names
        decoded = decode_instance('servers/odd', text)
        if decoded is not None:
            assert decoded.slots >= 1
            assert decoded.address.count(':') == 1

    check()


def _make_instance(started_unix_ms: int) -> UpstreamInstance:
    return UpstreamInstance(
        instance='i1',
        pool='p',
        address='10.0.0.1:80',
        failure_domain='one',
        slots=4,
        started_unix_ms=started_unix_ms,
    )


@given(
    'an instance that failed {failures:d} times with {running:d} of our '
    'requests running'
)
def create_failed_instance(context, failures, running):
    context.load_tracker = LoadTracker()
    context.subscriber, _ = _make_subscriber(context.load_tracker)
    context.subscriber.apply_instances([_make_instance(1000)], 0)
    for _ in range(failures):
        context.load_tracker.record_failure('i1', 0)
    context.record = context.load_tracker.get('i1')
    context.record.in_flight += running


@when('a list shows that it has started again')
def list_restarted(context):
    context.subscriber.apply_instances([_make_instance(5000)], 1000)


@when('a list shows it as before')
def list_unchanged(context):
    context.subscriber.apply_instances([_make_instance(1000)], 1000)


@then('it is no longer avoided and counted as idle')
def check_reset(context):
    record = context.load_tracker.get('i1')
    assert record.suspect_until_ms < 0
    assert record.in_flight == 0


@then('the end of a request at its earlier incarnation changes nothing')
def end_old_request(context):
    context.record.in_flight -= 1
    assert context.load_tracker.get('i1').in_flight == 0


@then('it is still avoided')
def check_still_suspected(context):
    assert context.load_tracker.get('i1').suspect_until_ms > 1000
    assert context.load_tracker.get('i1').in_flight == 3


def _list_stage_instance(stage, started_unix_ms: int) -> None:
    """Write the record of a stage instance and wait until it is listed."""
    entry = {**_ENTRY, 'backend': 'stage', 'born': started_unix_ms}
    text = msgspec.json.encode(entry).decode()
    stage.run(stage.write({'servers/i1': text}))
    directory = stage.get_context().directory
    stage.run(
        stage.wait_for(
            lambda: any(
                instance.started_unix_ms == started_unix_ms
                for instance in directory.get_pool('stage')
            ),
        ),
    )


@given('a stage instance with a call that hangs and results that fill it')
def hang_call(context):
    stage = context.gateway_stage
    gateway = stage.get_context()
    context.sent = []

    async def send(_, call):
        context.sent.append(call)
        if len(context.sent) == 1:
            await asyncio.sleep(_CALL_MS / 1000)
        return Ok(
            tuple(
                PieceResult(outcome=PieceOutcome.done, handle=f'h{number}')
                for number in range(len(call.pieces))
            ),
        )

    context.service = PieceService(context=gateway, send=send)
    _list_stage_instance(stage, 1000)
    scheduler = context.service.get_schedulers().get('stage')
    for number in range(3):
        scheduler.result_space.add(
            StoredResult(
                handle=f'old{number}',
                instance='i1',
                result_bytes=1_000_000,
                expires_ms=_FAR_FUTURE_MS,
            ),
        )
    context.running = stage.loop.create_task(
        context.service.run(
            'stage',
            [
                make_waiting_piece(
                    _FAR_FUTURE_MS, expires_ms=_FAR_FUTURE_MS
                ).piece
            ],
        ),
    )
    stage.run(stage.wait_for(lambda: context.sent))


@when('its record shows a new incarnation')
def list_new_incarnation(context):
    stage = context.gateway_stage
    _list_stage_instance(stage, 5000)
    context.service.forget_incarnation('i1')


@then('the call ends at once, its pieces are made by the new incarnation')
def check_processed_again(context):
    stage = context.gateway_stage
    (result,) = stage.run(asyncio.wait_for(context.running, _CALL_MS / 2000))
    assert result.outcome is PieceOutcome.done
    starts = [call.instance.started_unix_ms for call in context.sent]
    assert starts == [1000, 5000], starts
    record = stage.get_context().load_tracker.get('i1')
    assert record.failures == 0, record


@then('its result space is free')
def check_space_free(context):
    scheduler = context.service.get_schedulers().get('stage')
    handles = [result.handle for result in scheduler.result_space.pop_all()]
    assert handles == ['h0'], handles
