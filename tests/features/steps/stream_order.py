"""Steps for the order and the software versions of streams."""

import re

from behave import given, then

from tests.standins.partial_streams import End, PartialStream

_BROKEN = 'broken'


def _make_stream(text: str) -> PartialStream:
    """Make a response from a text such as `1 2 broken`."""
    words = text.split()
    ids = tuple(word for word in words if word != _BROKEN)
    end = End.close if _BROKEN in words else End.regular
    return PartialStream(framing='chunked', end=end, ids=ids)


@given('upstreams whose next responses hold events {responses}')
def prepare_responses(context, responses):
    # Shared, and taken from the end.
    streams = [_make_stream(text) for text in responses.split(';')]
    streams.reverse()
    for upstream in context.gateway_stage.upstreams.values():
        upstream.partial_streams = streams


@given('a third instance of the pool')
def add_third_instance(context):
    stage = context.gateway_stage
    stage.run(stage.add_upstream('u3', 'plain'))
    directory = stage.get_context().directory
    stage.run(stage.wait_for(lambda: len(directory.get_pool('plain')) == 3))


@given('streams of these upstreams that were relayed before')
def relay_earlier_streams(context):
    stage = context.gateway_stage
    for path in ('/stream/partial', '/resumable/partial'):
        stage.run(stage.send(path))


def _read_ids(context) -> list[str]:
    ids = re.findall(rb'id: (\S+)', context.response.body)
    return [event_id.decode() for event_id in ids]


@then('it gets the events {ids}, and the end')
def check_whole_stream(context, ids):
    assert _read_ids(context) == ids.split(), context.response.body
    assert context.response.is_whole


@then('it gets the events {ids}, and a broken connection')
def check_broken_stream(context, ids):
    expected = [] if ids == 'none' else ids.split()
    assert _read_ids(context) == expected, context.response.body
    assert not context.response.is_whole


@then('it gets events {first:d} to {last:d} once, in order, and the end')
def check_events(context, first, last):
    body = context.response.body
    numbers = [int(number) for number in re.findall(rb'id: (\d+)', body)]
    assert numbers == list(range(first, last + 1)), body
    assert context.response.is_whole


@then(
    'an attempt failed with reason {reason:S}: event {rejected:d} after '
    '{last:d}'
)
def check_reason(context, reason, rejected, last):
    (fields,) = [
        fields
        for event, fields in context.log_lines
        if event == 'attempt_failed'
    ]
    assert fields['reason'] == reason, fields
    assert f"event '{rejected}' after '{last}'" in fields['detail'], fields


@then(
    'the log has a part of version {version:S} from event {first:S} to '
    '{last:S}, resumed after {resumed_after:S}'
)
def check_part(context, version, first, last, resumed_after):
    parts = [
        fields for event, fields in context.log_lines if event == 'stream_part'
    ]
    expected = {
        'software_version': version,
        'response_id': context.response.request_id,
        'first_event_id': first,
        'last_event_id': last,
        'resumed_after': '' if resumed_after == 'nothing' else resumed_after,
    }
    assert any(expected.items() <= fields.items() for fields in parts), parts
    assert all(fields['list_age_ms'] >= 0 for fields in parts), parts
