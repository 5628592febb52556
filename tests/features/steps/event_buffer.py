"""Steps for splitting an event stream."""

import re
from unittest import mock

from behave import then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from ragworthollow.conf import global_settings
from ragworthollow_daemon.gateway import event_buffer
from ragworthollow_daemon.gateway.event_buffer import EventBuffer

_EXAMPLES = 300
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r){2,}')
_SHORT_EVENT = b'id: 1\ndata: x\n\n'
_STREAM_PIECES = (
    b'\n',
    b'\r',
    b'\r\n',
    b'\n\n',
    b'\r\r',
    b'\r\n\r\n',
    b'id: 7',
    b'id: 8 ',
    b':',
    b'data',
    b'x',
)
_NEWLINES = ('\n', '\r\n', '\r')


@st.composite
def _streams(draw) -> tuple[list[bytes], list[bytes], bytes]:
    """Draw events, the chunks that carry them, and the start of another."""
    newline = draw(st.sampled_from(_NEWLINES))
    count = draw(st.integers(0, 4))
    events = [
        f'id: {number}{newline}data: {"x" * number}{newline}{newline}'.encode()
        for number in range(1, count + 1)
    ]
    partial = f'id: {count + 1}{newline}data: y'.encode()
    partial = partial[: draw(st.integers(0, len(partial)))]
    body = b''.join(events) + partial
    cuts = sorted(draw(st.lists(st.integers(0, len(body)), max_size=6)))
    bounds = [0, *cuts, len(body)]
    chunks = [
        body[start:end] for start, end in zip(bounds, bounds[1:], strict=False)
    ]
    return events, chunks, partial


@then('any events with any line endings in any chunks leave the buffer whole')
def check_any_stream(context):
    _check_stream()


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given_any(stream=_streams())
def _check_stream(stream):
    events, chunks, partial = stream
    buffer = EventBuffer()
    received = b''
    for chunk in chunks:
        received += buffer.feed(chunk)
        # What has left the buffer ends with a whole event.
        assert any(
            received.rstrip(b'\r\n') == b''.join(events[:count]).rstrip(b'\r\n')
            for count in range(len(events) + 1)
        ), (received, chunks)
    assert received + buffer.get_incomplete() == b''.join(chunks)
    assert buffer.last_event_id == (str(len(events)) if events else '')
    assert buffer.get_incomplete().lstrip(b'\r\n') == partial


@then('any bytes in any chunks give the events that they give as a whole')
def check_any_cut(context):
    _check_cut()


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given_any(
    pieces=st.lists(st.sampled_from(_STREAM_PIECES), max_size=20),
    sizes=st.lists(st.integers(1, 5), min_size=1, max_size=8),
)
def _check_cut(pieces, sizes):
    body = b''.join(pieces)
    ends = [match.end() for match in _EVENT_END.finditer(body)]
    complete = body[: ends[-1]] if ends else b''
    buffer = EventBuffer()
    received = b''
    start = 0
    while start < len(body):
        size = sizes[start % len(sizes)]
        received += buffer.feed(body[start : start + size])
        start += size
    assert received == complete, (body, received)
    assert buffer.get_incomplete() == body[len(complete) :], body
    assert buffer.event_count == len(ends), body
    ids = [
        line[len(b'id:') :].strip().decode()
        for line in complete.splitlines()
        if line.startswith(b'id:')
    ]
    assert buffer.last_event_id == ([''] + ids)[-1], body


class _CountingPattern:
    """Count the bytes that a pattern searches."""

    def __init__(self, pattern) -> None:
        self._pattern = pattern
        self.searched_bytes = 0

    def finditer(self, data):
        self.searched_bytes += len(data)
        return self._pattern.finditer(data)


@when(
    '{total_bytes:d} bytes without the end of an event are fed in chunks of '
    '{chunk_bytes:d}'
)
def feed_without_end(context, total_bytes, chunk_bytes):
    pattern = _CountingPattern(event_buffer._EVENT_END)  # noqa: SLF001
    buffer = EventBuffer()
    with mock.patch.object(event_buffer, '_EVENT_END', pattern):
        for _ in range(total_bytes // chunk_bytes):
            buffer.feed(b'Z' * chunk_bytes)
    context.total_bytes = total_bytes
    context.searched_bytes = pattern.searched_bytes


@then('no more than {factor:d} times as many bytes were searched')
def check_searched(context, factor):
    searched = context.searched_bytes
    assert searched <= factor * context.total_bytes, searched


@when('an event of {excess:d} bytes beyond the limit follows a short one')
def feed_long_event(context, excess):
    length = global_settings.MAX_EVENT_BYTES + excess
    body = _SHORT_EVENT + b'Z' * length + b'\n\n'
    context.buffers = []
    for chunk_bytes in (1, 1000, len(body)):
        buffer = EventBuffer()
        received = b''.join(
            buffer.feed(body[start : start + chunk_bytes])
            for start in range(0, len(body), chunk_bytes)
        )
        context.buffers.append((buffer, received))


@then('the buffer has passed on {count:d} events and reports {report}')
def check_long_event(context, count, report):
    for buffer, received in context.buffers:
        assert received.count(b'\n\n') == count, received[:100]
        assert buffer.event_count == count
        assert buffer.is_event_too_long == (report == 'an event too long')
