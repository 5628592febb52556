"""Steps for streams that upstreams break off or frame in different ways."""

from behave import given, then

from tests.standins.partial_streams import End, PartialStream, Stop

_STOPS = {
    'after its head': Stop.head,
    'between two events': Stop.between,
    'inside an event': Stop.inside,
}


def _prepare(context, stream: PartialStream) -> None:
    for upstream in context.gateway_stage.upstreams.values():
        upstream.partial_streams.append(stream)


@given(
    'upstreams whose next stream is framed by its {framing:S}, stops {stop} '
    'and ends by {end:S}'
)
def prepare_broken_streams(context, framing, stop, end):
    stream = PartialStream(framing=framing, stop=_STOPS[stop], end=End(end))
    _prepare(context, stream)


@then(
    'the log has framing {framing:S}, connection end {connection_end:S}, '
    '{events:d} event and {unfinished:d} unfinished bytes'
)
def check_log(context, framing, connection_end, events, unfinished):
    (fields,) = [
        fields
        for event, fields in context.log_lines
        if event in {'answered', 'attempt_failed'}
    ]
    found = (
        str(fields['framing']),
        str(fields['connection_end']),
        fields['events'],
        fields['unfinished_bytes'],
    )
    assert found == (framing, connection_end, events, unfinished), fields
