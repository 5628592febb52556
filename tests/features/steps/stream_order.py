"""Steps for the order and the software versions of streams."""

from behave import then


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
