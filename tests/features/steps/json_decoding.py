"""Steps for the decoders of what other processes send."""

import asyncio
import itertools
import json
import zlib

import msgspec
from aiohttp import test_utils, web
from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.configuration.change_record import ChangeRecord
from ragworthollow.configuration.file_entry import FileEntry
from ragworthollow.configuration.manifest import Manifest
from ragworthollow.configuration.store import decode_manifest
from ragworthollow.once.assignment import (
    Assignment,
    Member,
    RangeOwner,
    decode_assignment,
)
from ragworthollow.platform.configuration_wire import decode_configuration
from ragworthollow.platform.stage_wire import decode_is_busy, decode_run
from ragworthollow.platform.store_wire import RangePage
from ragworthollow.replica.update_codec import decode_update
from ragworthollow.transport.piece_messages import decode_results
from ragworthollow.utils import decode_json, get_wall_ms
from ragworthollow.utils.message import Message
from ragworthollow_ctl.gateway_client import query_gateway
from ragworthollow_ctl.losses.log_line import decode_line
from ragworthollow_ctl.service_client import ServiceClient

_LEVELS = 5000
_NESTED = b'[' * _LEVELS + b']' * _LEVELS
_TEXTS = {
    # The decoder recurses into values of unknown fields too.
    'deeply nested values': b'{"unknown":' + _NESTED + b'}',
    'a value not Base64': b'{"items":[{"key":"a","value":"?"}]}',
}
_OWNER = b'{"instance":"a","incarnation":"a-1"},'
_TOO_LARGE = b'1' + b'0' * 400
_LATER_MS = 3_600_000


def _make_assignment(*, epoch=1, since_ms=0, joined_ms=0, owner='a'):
    member = Member(
        instance='a',
        incarnation='a-1',
        address='127.0.0.1:9',
        joined_ms=int(joined_ms),
    )
    owners = itertools.repeat(
        RangeOwner(instance=owner, incarnation='a-1', since_ms=int(since_ms)),
        global_settings.ONCE_RANGES,
    )
    assignment = Assignment(
        epoch=int(epoch), members=(member,), ranges=tuple(owners)
    )
    return msgspec.json.encode(assignment)


def _make_manifest(generation, file_generation):
    change = ChangeRecord(
        change_id='a',
        generation=int(generation),
        operator='a',
        time_ms=0,
        files=(),
    )
    changed = FileEntry(
        name='a', owner='a', sha256='a', generation=file_generation
    )
    return msgspec.json.encode(
        Manifest(
            generation=int(generation), files=(changed,), history=(change,)
        )
    )


_TEXTS_BY_MESSAGE = {
    ('a report', 'an integer too large'): (
        b'{"busy":' + _TOO_LARGE + b',"waiting":0}'
    ),
    ('an update of a peer', 'an integer too large'): (
        b'{"age_ms":1,"revision": ' + _TOO_LARGE + b'}'
    ),
    ('a configuration', 'an integer too large'): (
        b'{"version":\n' + _TOO_LARGE + b'}'
    ),
    ('a page of the store', 'an integer too large'): (
        b'{"as_of":-' + _TOO_LARGE + b'}'
    ),
    ('an assignment', '63 ranges'): (
        b'{"epoch":1,"ranges":[' + (_OWNER * 63)[:-1] + b']}'
    ),
    ('an assignment', '65 ranges'): (
        b'{"epoch":1,"ranges":[' + (_OWNER * 65)[:-1] + b']}'
    ),
    ('an assignment', 'an epoch too large'): _make_assignment(
        epoch=get_wall_ms() + _LATER_MS
    ),
    ('an assignment', 'a start in the future'): _make_assignment(
        since_ms=get_wall_ms() + _LATER_MS
    ),
    ('an assignment', 'a member of the future'): _make_assignment(
        joined_ms=get_wall_ms() + _LATER_MS
    ),
    ('an assignment', 'an owner that is no member'): _make_assignment(
        owner='b'
    ),
    ('a manifest', 'a generation too large'): _make_manifest(
        get_wall_ms() + _LATER_MS, 1
    ),
    ('a manifest', 'a file of a later generation'): _make_manifest(1, 2),
    ('results of a peer', 'a float too large'): (
        b'{"results":[{"outcome":"done","wait_ms":1e300}]}'
    ),
}
_DECODERS = {
    'a run of pieces': decode_run,
    'a report': decode_is_busy,
    'results of a peer': decode_results,
    'an update of a peer': lambda text: decode_update(zlib.compress(text)),
    'a configuration': decode_configuration,
    'an assignment': decode_assignment,
    'a manifest': decode_manifest,
    'a page of the store': lambda text: decode_json(text, RangePage),
}


@when('the decoder of {message} is given {text}')
def decode(context, message, text):
    try:
        given_text = _TEXTS.get(text) or _TEXTS_BY_MESSAGE[message, text]
        context.decoded = _DECODERS[message](given_text)
    except msgspec.DecodeError as error:
        context.decoded = Err(str(error))


@when('a command of an operator reads {what}, deeply nested')
def run_command(context, what):
    command = _COMMANDS[what]
    try:
        context.decoded = asyncio.run(_run_command(command))
    except SystemExit as error:
        context.decoded = Err(f'exit status {error.code}')


async def _run_command(command):
    text = _TEXTS['deeply nested values']

    async def send_nested(_request):
        return web.Response(body=text)

    application = web.Application()
    application.router.add_get('/{path:.*}', send_nested)
    async with test_utils.TestServer(application) as server:
        return await command(f'{server.host}:{server.port}')


async def _query_entry(address):
    client = ServiceClient(entries=[f'http://{address}'], key='key')
    return await client.get('history', Message)


async def _read_line(_address):
    text = _TEXTS['deeply nested values'].decode()
    line = decode_line(f'2 gateway: {text}')
    return Err('no line') if line is None else line


_COMMANDS = {
    'an answer of a gateway': lambda address: query_gateway(
        address, '/', Message
    ),
    'an answer of an entry': _query_entry,
    'a line of a log': _read_line,
}


@then('it reports the text as unreadable')
def check_unreadable(context):
    assert isinstance(context.decoded, Err), context.decoded


class _Sample(Message):
    label: str = ''
    count: int = 0
    ratio: float = 0
    by_name: dict[str, int] = {}
    rows: tuple[tuple[str, float], ...] = ()


_INTEGERS = st.integers(-(2**80), 2**80) | st.integers(-(10**400), 10**400)
_FLOATS = st.floats(allow_nan=False, allow_infinity=False)
_EDGES = st.sampled_from((2**63 - 1, 2**63, -(2**63), 1 - 2**63, 10**18))


@then('a number that does not fit into 64 bits is unreadable, others are not')
def check_numbers(context):
    @settings(max_examples=500, deadline=None, derandomize=True)
    @for_all(
        count=_EDGES | _INTEGERS,
        ratio=_FLOATS,
        named=_EDGES | _INTEGERS,
        indent=st.sampled_from((0, 1)),
    )
    def check(count, ratio, named, indent):
        fields = {
            'count': count,
            'ratio': ratio,
            'by_name': {'a': named},
            'rows': [['b', ratio]],
        }
        text = json.dumps(fields, indent=indent)
        is_bounded = all(
            abs(number) < 2**63 for number in (count, ratio, named)
        )
        try:
            decoded = decode_json(text, _Sample)
        except msgspec.DecodeError:
            assert not is_bounded, fields
            return
        assert is_bounded, fields
        assert decoded.count == count
        assert decoded.ratio == ratio

    check()


@then('strings of digits and exponents are read as they are')
def check_strings(context):
    @settings(max_examples=200, deadline=None, derandomize=True)
    @for_all(
        label=st.text(alphabet='0123456789eE+-., :[{"') | st.text(),
        is_bytes=st.booleans(),
    )
    def check(label, is_bytes):
        text = json.dumps({'label': label})
        decoded = decode_json(text.encode() if is_bytes else text, _Sample)
        assert decoded.label == label

    check()


class _Envelope(Message):
    payload: msgspec.Raw
    by_name: dict[str, msgspec.Raw] = {}
    parts: tuple[_Sample, ...] = ()


@then('any JSON that is passed on as it came is not judged')
def check_raw(context):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @for_all(
        passed=st.recursive(
            _EDGES | _INTEGERS | _FLOATS | st.text(max_size=30),
            lambda inner: st.lists(inner, max_size=4),
            max_leaves=8,
        ),
        count=_EDGES,
    )
    def check(passed, count):
        raw = json.dumps(passed)
        text = (
            f'{{"payload":{raw},"by_name":{{"a":{raw}}},'
            f'"parts":[{{"count":{count}}}]}}'
        )
        try:
            decoded = decode_json(text, _Envelope)
        except msgspec.DecodeError:
            assert abs(count) >= 2**63, text
            return
        assert abs(count) < 2**63, text
        assert bytes(decoded.payload) == raw.encode()

    check()
