"""Steps for the records of how events are numbered."""

import base64

import msgspec
from behave import given, then, when

from ragworthollow.conf import global_settings
from ragworthollow.upstreams import (
    EventNumbering,
    EventNumberings,
    PoolNumberings,
)
from tests.standins.partial_streams import End, PartialStream

_ROUTE = 'r-resumable'
_ROUTES = (_ROUTE, 'other')
_KEY = 'event-numberings/plain'
_PREFIXES = {'gateways', 'pool-versions'}
_TXN_PATH = '/api/kv-txn'
_MAX_RECORD_BYTES = 100
_CONSECUTIVE = EventNumbering.consecutive
_JUNK = {
    'a deeply nested value': '{"versions": ' + '[' * 1000,
    'an unknown numbering': '{"versions": {"v1": {"r-resumable": "odd"}}}',
    'too many numberings': msgspec.json.encode(
        PoolNumberings(
            versions={
                'v1': {
                    f'r{number}': EventNumbering.with_gaps
                    for number in range(
                        global_settings.MAX_EVENT_NUMBERINGS + 1
                    )
                }
            }
        )
    ).decode(),
}


def _learn(software_version: str, numbering: str) -> EventNumberings:
    numberings = EventNumberings()
    numberings.record(_ROUTE, software_version, EventNumbering(numbering))
    return numberings


@given('an empty record, and gateways that have learnt {order}')
def begin_gateways(context, order):
    context.record = PoolNumberings()
    context.known = [_learn('v1', name) for name in order.split(', ')]


@when('they write what they know, one after the other')
def write_all(context):
    for numberings in context.known:
        # The comparison of a write fails until the gateway has read the last.
        numberings.merge(context.record)
        change = numberings.find_change(context.record, _ROUTES, ('v1',))
        context.record = change or context.record


@then('all of them and the record know gaps, and nothing is left to write')
def check_gaps(context):
    for numberings in context.known:
        numberings.merge(context.record)
        found = numberings.find(_ROUTE, 'v1')
        assert found is EventNumbering.with_gaps, found
        assert not numberings.find_change(context.record, _ROUTES, ('v1',))
    assert context.record.find(_ROUTE, 'v1') is EventNumbering.with_gaps


@given('a record of version v1, and a gateway that has learnt v2')
def begin_versions(context):
    context.record = PoolNumberings(versions={'v1': {_ROUTE: _CONSECUTIVE}})
    context.numberings = _learn('v2', 'consecutive')


@given('a record that is full, and a gateway that has learnt v2')
def begin_full(context):
    limit = global_settings.MAX_EVENT_NUMBERINGS
    by_route = {f'r{number}': _CONSECUTIVE for number in range(limit)}
    context.record = PoolNumberings(versions={'v1': by_route})
    context.numberings = _learn('v2', 'consecutive')


def _find_change(context, routes, versions) -> PoolNumberings | None:
    return context.numberings.find_change(context.record, routes, versions)


@then('nothing is written for other versions or routes')
def check_others(context):
    assert _find_change(context, _ROUTES, ('v1',)) is None
    assert _find_change(context, ('other',), ('v1', 'v2')) is None


@then('nothing is written for any version')
def check_full(context):
    assert _find_change(context, _ROUTES, ('v1', 'v2')) is None


@then('the record of v2 replaces that of v1 once v1 has gone')
def check_replaced(context):
    both = _find_change(context, _ROUTES, ('v1', 'v2'))
    assert set(both.versions) == {'v1', 'v2'}, both
    expected = PoolNumberings(versions={'v2': {_ROUTE: _CONSECUTIVE}})
    assert _find_change(context, _ROUTES, ('v2',)) == expected


def _list_prefixes(keys) -> set[str]:
    return {key.partition('/')[0] for key in keys}


@given("the numbering of the pool's streams was recorded")
def record_numbering(context):
    stage = context.gateway_stage
    entries = stage.store.entries
    # The gateway writes nothing else after these.
    stage.run(stage.wait_for(lambda: _PREFIXES <= _list_prefixes(entries)))
    context.writes = stage.store.counts[_TXN_PATH]
    stage.run(stage.send('/resumable/partial'))
    _wait_for_record(context, _CONSECUTIVE)


@given('a backup of the store from before the numbering was recorded')
def back_up(context):
    context.backup = context.gateway_stage.store.save()
    record_numbering(context)
    stage = context.gateway_stage
    view = stage.get_context().replica.view
    stage.run(stage.wait_for(lambda: _KEY in view.entries))


@when('the store is restored')
def restore(context):
    context.gateway_stage.store.restore(context.backup)
    assert _read_text(context) == ''


def _count_writes(context) -> int:
    return context.gateway_stage.store.counts[_TXN_PATH] - context.writes


def _read_text(context) -> str:
    entry = context.gateway_stage.store.entries.get(_KEY)
    return '' if entry is None else base64.b64decode(entry.value).decode()


def _wait_for_record(context, numbering: EventNumbering) -> None:
    stage = context.gateway_stage
    record = PoolNumberings(versions={'v1': {_ROUTE: numbering}})
    text = msgspec.json.encode(record).decode()
    stage.run(stage.wait_for(lambda: _read_text(context) == text))


@when(
    '{count:d} more streams are relayed, and the list is read {reads:d} times'
)
def relay_more(context, count, reads):
    stage = context.gateway_stage
    for _ in range(count):
        stage.run(stage.send('/resumable/partial'))
    stage.run(stage.wait_for_reads(reads))


@then('the store has got no further write, and the record is short')
def check_writes(context):
    assert _count_writes(context) == 1, _count_writes(context)
    assert len(_read_text(context)) < _MAX_RECORD_BYTES, _read_text(context)


@when('a stream with gaps is relayed')
def relay_gaps(context):
    stage = context.gateway_stage
    for upstream in stage.upstreams.values():
        upstream.partial_streams = [
            PartialStream(framing='chunked', end=End.regular, ids=('4', '8'))
        ]
    stage.run(stage.send('/resumable/partial'))


@then('the record changes to with_gaps, with {count:d} writes in all')
def check_changed(context, count):
    _wait_for_record(context, EventNumbering.with_gaps)
    assert _count_writes(context) == count, _count_writes(context)


@when('another writer replaces the record by {junk}')
def write_junk(context, junk):
    stage = context.gateway_stage
    stage.run(stage.write({_KEY: _JUNK[junk]}))


@then('the gateway writes consecutive again')
def check_written_again(context):
    _wait_for_record(context, _CONSECUTIVE)


@then('the gateway writes consecutive again, after one error')
def check_rejected(context):
    _wait_for_record(context, _CONSECUTIVE)
    stage = context.gateway_stage
    stage.run(stage.wait_for_reads(3))
    errors = [
        fields['peer']
        for event, fields in context.log_lines
        if event == 'event_numberings_unreadable'
    ]
    assert errors == [_KEY], errors
