"""Steps for metadata of callers that cannot be read."""

import asyncio
import re

import aiohttp
from behave import then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

_ERROR = 500
_OK = 200
# Requests that are not refused for their limit end by it.
_LIMIT_MS = 1500
_HEADERS = (
    'X-Ragworthollow-Deadline-Ms',
    'X-Ragworthollow-Token-Usage',
    'X-Ragworthollow-Prefix-Hash',
    'X-Ragworthollow-Pieces',
    'X-Ragworthollow-Piece-Key',
    'Last-Event-Id',
    'Resumes',
)
_PATHS = (
    '/safe/answer',
    '/unsafe/answer',
    '/stream/partial',
    '/resumable/partial',
    '/staged/answer',
)
_NUMBERS = st.one_of(
    st.integers(-3, 2**70).map(str),
    st.integers(1, 7000).map(lambda digits: '9' * digits),
    st.floats().map(str),
    st.sampled_from(('1e999', '-0', '+5', '1_000', '0x10', '', ' ')),
)
_TEXTS = st.one_of(
    _NUMBERS,
    st.lists(_NUMBERS, max_size=4).map(','.join),
    st.lists(_NUMBERS, max_size=3).map(
        lambda numbers: ','.join(f'a:{number}' for number in numbers)
    ),
    st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=40),
)


@when('a caller posts to {path:S} with the header {header:S} as {text}')
def post_with_header(context, path, header, text):
    stage = context.gateway_stage
    spelled = re.sub(r'(\d+) digits', lambda m: '9' * int(m[1]), text)
    context.response = stage.run(
        stage.send(path, headers={header: spelled}, limit_ms=_LIMIT_MS)
    )


@then('it gets a response other than 500')
def check_no_error(context):
    assert context.response.status != _ERROR, context.response


@then(
    'requests with any text in their metadata get no 500, and sound ones are '
    'served'
)
def check_any_metadata(context):
    stage = context.gateway_stage

    @settings(
        max_examples=60,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(
        path=st.sampled_from(_PATHS),
        headers=st.dictionaries(
            st.sampled_from(_HEADERS), _TEXTS, min_size=1, max_size=3
        ),
    )
    def check(path, headers):
        odd, sound = stage.run(_send_beside(stage, path, headers))
        if not isinstance(odd, aiohttp.ClientError):
            assert odd.status != _ERROR, (odd, headers)
        assert sound.status == _OK, sound

    check()


async def _send_beside(stage, path, headers):
    """Send a request with odd headers beside a sound one."""
    sending_odd = asyncio.ensure_future(
        stage.send(path, headers=headers, limit_ms=_LIMIT_MS)
    )
    sound = await stage.send('/safe/answer')
    # The stand-ins let streams go on for as long as their callers stay.
    await asyncio.wait((sending_odd,))
    error = sending_odd.exception()
    return error or sending_odd.result(), sound
