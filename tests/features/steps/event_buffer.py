"""Steps for splitting an event stream."""

from behave import then
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from ragworthollow_daemon.gateway.event_buffer import EventBuffer

_EXAMPLES = 300
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
