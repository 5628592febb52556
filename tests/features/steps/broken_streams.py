"""Steps for streams that upstreams break off or frame in different ways."""

import asyncio
import contextlib
from types import SimpleNamespace
from unittest import mock

import aiohttp
from aiohttp.test_utils import make_mocked_request
from behave import given, then, when

from ragworthollow.outcomes import Reason
from ragworthollow_daemon.gateway.event_buffer import EventBuffer
from ragworthollow_daemon.gateway.response_progress import ResponseProgress
from ragworthollow_daemon.gateway.stream_relay import StreamRelay
from tests.fixtures.gateways import API_KEY
from tests.standins.partial_streams import End, PartialStream, Stop

_STOPS = {
    'after its head': Stop.head,
    'between two events': Stop.between,
    'inside an event': Stop.inside,
}
_NEWLINES = {'LF': '\n', 'CRLF': '\r\n', 'CR': '\r'}
_FIRST_EVENT = b'data: token 1'
_READ_TIMEOUT_S = 5
# Polls without progress after which all buffers are taken to be full.
_UNCHANGED_COUNTS = 20
_ATTEMPT_EVENTS = frozenset(('answered', 'attempt_failed'))
_END_EVENTS = frozenset(('request_ended',))

_MAX_ATTEMPTS = 3


def _find_log_lines(context, events: frozenset[str]) -> list[dict]:
    return [fields for event, fields in context.log_lines if event in events]


def _prepare(context, stream: PartialStream) -> None:
    context.partial_stream = stream
    # Shared, so that only the first attempt gets this stream.
    streams = [stream]
    for upstream in context.gateway_stage.upstreams.values():
        upstream.partial_streams = streams


@given(
    'upstreams whose next stream is framed by its {framing:S}, stops {stop} '
    'and ends by {end:S}'
)
def prepare_broken_streams(context, framing, stop, end):
    stream = PartialStream(framing=framing, stop=_STOPS[stop], end=End(end))
    _prepare(context, stream)


@given(
    'upstreams whose next stream is framed by its {framing:S}, whole, '
    'with {lines:S} lines and {trailer} after it'
)
def prepare_complete_streams(context, framing, lines, trailer):
    newline = _NEWLINES[lines]
    trailers = {
        'nothing': '',
        'a comment': f': end{newline}',
        'a blank line': newline,
    }
    _prepare(
        context,
        PartialStream(
            framing=framing, newline=newline, trailer=trailers[trailer]
        ),
    )


@given(
    'upstreams that hold streams with {lines:S} lines after their first event'
)
def prepare_held_streams(context, lines):
    _prepare(
        context, PartialStream(framing='chunked', newline=_NEWLINES[lines])
    )


@given('upstreams whose next error answer has no length and ends by {end:S}')
def prepare_error(context, end):
    _prepare(context, PartialStream(framing='connection', end=End(end)))


@when('a caller resumes {path:S} after event {event_id:d}')
def resume(context, path, event_id):
    stage = context.gateway_stage
    context.response = stage.run(
        stage.send(path, headers={'Last-Event-Id': str(event_id)})
    )


@when('a caller opens {path:S}')
def open_stream(context, path):
    context.held_path = path


@then('it gets the first event before the stream goes on')
def check_first_event(context):
    stage = context.gateway_stage
    stage.run(_read_held_stream(stage, context.held_path))


async def _read_held_stream(stage, path):
    address = stage.get_context().settings.front_address
    async with stage.session.post(
        f'http://{address}{path}',
        headers={
            'Host': 'service.example',
            'Authorization': f'Bearer {API_KEY}',
            'X-Ragworthollow-Request-Id': 'held',
            'X-Ragworthollow-Deadline-Ms': '5000',
        },
    ) as response:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            received = b''
            while _FIRST_EVENT not in received:
                received += await response.content.readany()
                assert not response.content.at_eof(), received
        for upstream in stage.upstreams.values():
            upstream.resume_event.set()
        received += await response.read()
    assert b'data: token 5' in received, received


@then('it gets {count:d} whole events and a broken connection')
def check_whole_events(context, count):
    whole = PartialStream(framing='chunked').render(1)
    ends = [0]
    while len(ends) <= count:
        ends.append(whole.index(b'\n\n', ends[-1]) + 2)
    body = context.response.body
    assert body == whole[: ends[-1]], body
    assert not context.response.is_whole, body


@then("the caller's body is what the upstream sent")
def check_body(context):
    body = context.response.body
    assert body == context.partial_stream.render(1), body


@then(
    'the log has framing {framing:S}, connection end {connection_end:S}, '
    '{events:d} event and {unfinished:d} unfinished bytes'
)
def check_log(context, framing, connection_end, events, unfinished):
    (fields,) = _find_log_lines(context, _ATTEMPT_EVENTS)
    found = (
        str(fields['framing']),
        str(fields['connection_end']),
        fields['events'],
        fields['unfinished_bytes'],
    )
    assert found == (framing, connection_end, events, unfinished), fields


@then(
    'the request is logged and counted with outcome {outcome:S} and reason '
    '{reason:S}'
)
def check_end(context, outcome, reason):
    stage = context.gateway_stage
    stage.run(stage.wait_for(lambda: _find_log_lines(context, _END_EVENTS)))
    (fields,) = _find_log_lines(context, _END_EVENTS)
    assert (fields['outcome'], fields['reason']) == (outcome, reason), fields
    metrics = stage.get_context().metrics
    assert metrics.get_requests(Reason(reason)) == 1


@when('a caller leaves {path:S} without reading it')
def leave_unread(context, path):
    context.gateway_stage.run(_leave_unread(context.gateway_stage, path))


async def _leave_unread(stage, path):
    address = stage.get_context().settings.front_address
    host, port = address.split(':')
    _, writer = await asyncio.open_connection(host, int(port), limit=1)
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: service.example',
        f'Authorization: Bearer {API_KEY}',
        'X-Ragworthollow-Request-Id: left-unread',
        'X-Ragworthollow-Deadline-Ms: 5000',
        'Content-Length: 0',
    )
    writer.write('\r\n'.join([*lines, '', '']).encode())
    await _wait_for_full_buffers(stage)
    writer.transport.abort()


async def _wait_for_full_buffers(stage):
    """Wait until nobody reads what the upstreams write any more."""
    counts = []
    while len(counts) < _UNCHANGED_COUNTS or len(set(counts)) > 1:
        await asyncio.sleep(0.01)
        count = sum(
            upstream.flood_count for upstream in stage.upstreams.values()
        )
        counts = [*counts[-_UNCHANGED_COUNTS + 1 :], count] if count else []


@then('the request is logged as abandoned, and no attempt as failed')
def check_abandoned(context):
    stage = context.gateway_stage
    events = frozenset(('request_abandoned',))
    stage.run(stage.wait_for(lambda: _find_log_lines(context, events)))
    assert not _find_log_lines(context, _ATTEMPT_EVENTS), context.log_lines


@given('a caller whose connection is closing')
def prepare_closing_caller(context):
    writer = mock.AsyncMock()
    writer.write.side_effect = aiohttp.ClientConnectionResetError('closing')
    context.relay = _make_relay(writer)


def _make_relay(writer) -> StreamRelay:
    request = make_mocked_request('POST', '/stream/', writer=writer)
    job = SimpleNamespace(
        request=request,
        request_parameters=SimpleNamespace(last_event_id=''),
    )
    return StreamRelay(
        job=job,
        is_draining=bool,
        progress=ResponseProgress(step='forward', peer='plain'),
    )


@when('events of an upstream are relayed to it')
def relay_to_closing_caller(context):
    context.relay_error = asyncio.run(_relay_events(context.relay))


async def _relay_events(relay: StreamRelay) -> Exception:
    async def iterate():
        yield PartialStream(framing='chunked').render(1), True

    upstream = SimpleNamespace(
        status=200,
        headers={},
        connection=None,
        content=SimpleNamespace(iter_chunks=iterate),
    )
    try:
        await relay.start(upstream, None)
        await relay.relay_events(upstream, lambda: None)
    except (aiohttp.ClientError, ConnectionError) as error:
        return error
    raise AssertionError('the relay reported no error')


@then('the relay reports a lost caller and not a broken upstream')
def check_lost_caller(context):
    error = context.relay_error
    assert isinstance(error, ConnectionError), repr(error)
    assert not isinstance(error, aiohttp.ClientError), repr(error)


@when(
    'a stream of {total_bytes:d} bytes in chunks of {chunk_bytes:d} is relayed '
    'at once'
)
def relay_at_once(context, total_bytes, chunk_bytes):
    context.turns = asyncio.run(_relay_at_once(total_bytes, chunk_bytes))


async def _relay_at_once(total_bytes, chunk_bytes) -> list[tuple[int, int]]:
    """Return how many bytes and chunks were processed in each turn."""
    processed = SimpleNamespace(size=0, count=0)
    turns = []

    class CountingBuffer(EventBuffer):
        def feed(self, chunk: bytes) -> bytes:
            processed.size += len(chunk)
            processed.count += 1
            return super().feed(chunk)

    async def count_turns():
        while True:
            turns.append((processed.size, processed.count))
            processed.size = 0
            processed.count = 0
            await asyncio.sleep(0)

    async def iterate():
        for _ in range(total_bytes // chunk_bytes):
            yield b'Z' * chunk_bytes, True

    relay = _make_relay(mock.AsyncMock())
    relay._event_buffer = CountingBuffer()  # noqa: SLF001
    upstream = SimpleNamespace(
        status=200,
        headers={},
        connection=None,
        content=SimpleNamespace(iter_chunks=iterate),
    )
    await relay.start(upstream, None)
    counting = asyncio.ensure_future(count_turns())
    with contextlib.suppress(aiohttp.ClientPayloadError):
        await relay.relay_events(upstream, lambda: None)
    turns.append((processed.size, processed.count))
    counting.cancel()
    return turns


@then(
    'other work ran at least every {max_bytes:d} bytes and every {count:d} '
    'chunks'
)
def check_turns(context, max_bytes, count):
    # The chunk that reaches the limit is processed in the same turn.
    for turn_bytes, turn_count in context.turns:
        assert turn_bytes <= 2 * max_bytes, turn_bytes
        assert turn_count <= count, turn_count


@when(
    '{count:d} callers with {limit_ms:d} ms post beside {streams:d} streams '
    'of {path:S}'
)
def send_beside_streams(context, count, limit_ms, streams, path):
    stage = context.gateway_stage

    async def send_all():
        streaming = [
            asyncio.ensure_future(stage.send(path)) for _ in range(streams)
        ]
        # Callers leave at their limit; a gateway that does not run would
        # otherwise answer them late, and succeed.
        async with asyncio.timeout(limit_ms / 1000):
            context.responses = await asyncio.gather(
                *(
                    stage.send('/safe/answer', limit_ms=limit_ms)
                    for _ in range(count)
                )
            )
        await asyncio.gather(*streaming)

    stage.run(send_all())


@when('a caller resumes after event 1, and each instance ends after its head')
def resume_at_crashing(context):
    stage = context.gateway_stage
    directory = stage.get_context().directory
    stage.run(stage.wait_for(lambda: 'plain' in directory.recorded_versions))
    for upstream in stage.upstreams.values():
        upstream.partial_streams = [
            PartialStream(framing='connection', stop=Stop.head)
            for _ in range(_MAX_ATTEMPTS)
        ]
    headers = {'Last-Event-Id': '1', 'Resumes': 'request-0'}
    context.response = stage.run(
        stage.send('/resumable/partial', headers=headers)
    )


@then('it gets no event and a broken connection')
def check_no_event(context):
    assert not context.response.is_whole, context.response
    assert not context.response.body, context.response
