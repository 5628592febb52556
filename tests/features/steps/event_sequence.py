"""Steps for the check that events follow each other, without a network."""

import itertools
import re

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.event_numbering import EventNumbering
from ragworthollow.upstreams.event_numberings import EventNumberings
from ragworthollow_daemon.gateway.event_buffer import EventBuffer
from ragworthollow_daemon.gateway.event_sequence import EventSequence

_EXAMPLES = 400
_NEWLINES = ('\n', '\r\n', '\r')
_ID = re.compile(rb'id: (\d+)')


def _render(ids: list[str], newline: str) -> bytes:
    """Render events with these ids; an empty id is left out."""
    return b''.join(
        f'{f"id: {event_id}{newline}" if event_id else ""}'
        f'data: id: 7{newline}{newline}'.encode()
        for event_id in ids
    )


@st.composite
def _chunked(draw, ids) -> tuple[list[str], list[bytes]]:
    """Draw event ids and the chunks that carry their events."""
    event_ids = draw(ids)
    body = _render(event_ids, draw(st.sampled_from(_NEWLINES)))
    cuts = sorted(draw(st.lists(st.integers(0, len(body)), max_size=6)))
    bounds = [0, *cuts, len(body)]
    chunks = [
        body[start:end] for start, end in zip(bounds, bounds[1:], strict=False)
    ]
    return event_ids, chunks


def _pass_on(sequence: EventSequence, chunks: list[bytes]) -> bytes:
    """Pass chunks on as the relay does, up to the first rejected event."""
    buffer = EventBuffer()
    passed = b''
    for chunk in chunks:
        passed += sequence.take(buffer.feed(chunk))
        if sequence.rejected_id is not None:
            return passed
    return passed + buffer.get_incomplete()


_ANY_IDS = st.lists(
    st.one_of(st.just(''), st.integers(0, 6).map(str)), max_size=8
)
_TEXT_IDS = st.lists(st.sampled_from(('', 'a', 'b-1', '1.5')), max_size=6)


@then('the passed events of any stream follow each other')
def check_any_events(context):
    _check_any_events()


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given_any(
    stream=_chunked(_ANY_IDS),
    known=st.integers(0, 3),
    numbering=st.sampled_from((None, *EventNumbering)),
)
def _check_any_events(stream, known, numbering):
    event_ids, chunks = stream
    sequence = EventSequence(resumed_after=str(known) if known else '')
    sequence.begin_part(numbering)
    passed = _pass_on(sequence, chunks)
    assert b''.join(chunks).startswith(passed), (passed, chunks)
    passed_ids = [
        int(number)
        for number in _ID.findall(passed.replace(b'data: id: 7', b''))
    ]
    before = [known] if known else []
    steps = [
        after - first
        for first, after in itertools.pairwise((*before, *passed_ids))
    ]
    assert all(step > 0 for step in steps), (event_ids, passed_ids)
    is_strict = numbering is EventNumbering.consecutive and known
    assert not is_strict or steps[:1] in ([], [1]), (event_ids, passed_ids)
    numbered = [int(event_id) for event_id in event_ids if event_id]
    is_rejected = sequence.rejected_id is not None
    assert is_rejected == (passed_ids != numbered), (event_ids, passed_ids)
    last = passed_ids[-1] if passed_ids else known
    assert sequence.last_event_id == (str(last) if last or passed_ids else '')
    if is_rejected:
        rejected = int(sequence.rejected_id)
        is_missing = is_strict and not passed_ids and rejected > known + 1
        assert rejected <= last or is_missing, (event_ids, passed_ids)


@then('any stream whose events increase is passed on unchanged')
def check_ordered_events(context):
    _check_ordered_events()
    _check_consecutive_events()


_NUMBERINGS = st.sampled_from((None, *EventNumbering))


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given_any(
    data=st.data(),
    steps=st.lists(
        st.integers(1, 5) | st.integers(1, 10**30), min_size=1, max_size=8
    ),
    width=st.integers(0, 20),
    numbering=_NUMBERINGS,
    part=st.integers(0, 8),
)
def _check_ordered_events(data, steps, width, numbering, part):
    """Pass on a stream with gaps, by one upstream or two."""
    numbers = itertools.accumulate(steps)
    ids = [str(number).zfill(width) for number in numbers]
    sequence = EventSequence()
    for part_ids in (ids[:part], ids[part:]):
        _, chunks = data.draw(_chunked(st.just(part_ids)))
        is_known = numbering is EventNumbering.consecutive
        is_joint = part_ids is not ids[:part] and sequence.last_event_id
        shows_gaps = sequence.numbering is EventNumbering.with_gaps
        seems_consecutive = is_known or sequence.numbering is not None
        if is_joint and seems_consecutive and not shows_gaps:
            # Where it goes on, only the next number is sure to be the next.
            return
        sequence.begin_part(numbering)
        assert _pass_on(sequence, chunks) == b''.join(chunks)


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given_any(
    data=st.data(),
    known=st.integers(0, 12),
    count=st.integers(0, 12),
    numbering=_NUMBERINGS,
)
def _check_consecutive_events(data, known, count, numbering):
    ids = [str(number) for number in range(known + 1, known + count + 1)]
    _, chunks = data.draw(_chunked(st.just(ids)))
    sequence = EventSequence(resumed_after=str(known) if known else '')
    sequence.begin_part(numbering)
    assert _pass_on(sequence, chunks) == b''.join(chunks)


@then('any stream without numbered events is passed on unchanged')
def check_unnumbered_events(context):
    _check_unnumbered_events()


@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
@given_any(stream=_chunked(_TEXT_IDS), known=st.sampled_from(('', 'x', '4')))
def _check_unnumbered_events(stream, known):
    _, chunks = stream
    sequence = EventSequence(resumed_after=known)
    passed = _pass_on(sequence, chunks)
    assert passed == b''.join(chunks)


@given('a stream with gaps and then one without were recorded of one version')
def record_streams(context):
    context.numberings = EventNumberings()
    for numbering in (
        EventNumbering.consecutive,
        EventNumbering.with_gaps,
        EventNumbering.consecutive,
        None,
    ):
        context.numberings.record('r', 'v', numbering)
    context.known = context.numberings.find('r', 'v')


@when('more versions are recorded than are remembered')
def record_versions(context):
    for number in range(global_settings.MAX_EVENT_NUMBERINGS):
        context.numberings.record('r', f'v{number}', EventNumbering.consecutive)


@then('the first was known to number with gaps until it was forgotten')
def check_known(context):
    assert context.known is EventNumbering.with_gaps, context.known
    assert context.numberings.find('r', 'v') is None
    last = f'v{global_settings.MAX_EVENT_NUMBERINGS - 1}'
    found = context.numberings.find('r', last)
    assert found is EventNumbering.consecutive, found
