"""Steps for responses whose heads are cut."""

import asyncio
from types import MappingProxyType

import aiohttp
import uvloop
from behave import given, then, when

from ragworthollow.platform import REQUEST_ID_HEADER
from ragworthollow.transport.responses import EXCHANGE_HEADER
from ragworthollow.transport.session import (
    make_session,
    make_unauthenticated_session,
)
from ragworthollow.transport.sessions import (
    make_held_session,
    make_peer_session,
    make_upstream_session,
)
from tests.standins.cut_server import serve
from tests.standins.garbled_server import read_request

_SESSION_FACTORIES = MappingProxyType(
    {
        'upstreams': lambda: make_upstream_session(REQUEST_ID_HEADER),
        'stages': lambda: make_held_session(REQUEST_ID_HEADER),
        'gateways': make_peer_session,
        'other daemons': lambda: make_session('cluster-key-of-a-test'),
        'the platform': make_unauthenticated_session,
    }
)
_TIMEOUT = aiohttp.ClientTimeout(total=5)
_PAUSE_S = 0.01
_BODY = b'the whole body'
_NAMES = f'{REQUEST_ID_HEADER}: own\r\n{EXCHANGE_HEADER}: own\r\n'
_OWN_STATUS = 203
_OWN_NAMES = frozenset((REQUEST_ID_HEADER, EXCHANGE_HEADER, 'Content-Length'))
_BEGINNINGS = MappingProxyType(
    {
        'a rejection': (
            'HTTP/1.1 503 Service Unavailable\r\n'
            'X-Ragworthollow-Not-Executed: 1\r\nRetry-After: 1\r\n'
        ),
        'a success': (
            'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
            'Content-Type: text/event-stream\r\n'
        ),
    }
)
_FRAMINGS = MappingProxyType(
    {'length': f'Content-Length: {len(_BODY)}\r\n', 'connection': ''}
)


@given('peers that send {beginning}, then a response framed by its {framing:S}')
def choose_responses(context, beginning, framing):
    context.beginning = _BEGINNINGS[beginning].encode()
    context.own_head = (
        f'HTTP/1.1 {_OWN_STATUS} Own\r\n{_NAMES}{_FRAMINGS[framing]}\r\n'
    ).encode()


@when('sessions of {peers} read it after the beginning was cut at any byte')
def read_after_cuts(context, peers):
    context.received = uvloop.run(
        _read_after_cuts(
            _SESSION_FACTORIES[peers], context.beginning, context.own_head
        )
    )


async def _read_after_cuts(make, beginning, own_head):
    async def respond(reader, writer):
        head = await read_request(reader)
        writer.write(beginning[: int(head.split('/')[1])] + own_head)
        # The head is read before the body, as of a stream.
        await asyncio.sleep(_PAUSE_S)
        writer.write(_BODY)

    async with serve(respond) as url, make() as session:
        return await asyncio.gather(
            *(
                _post(session, f'{url}/{length}/')
                for length in range(len(beginning) + 1)
            )
        )


async def _post(session, url):
    """Return status, headers and body, or None after a failure."""
    names = {REQUEST_ID_HEADER: 'own', EXCHANGE_HEADER: 'own'}
    try:
        async with session.post(
            url, headers=names, timeout=_TIMEOUT
        ) as response:
            body = b''.join(
                [part async for part in response.content.iter_any()]
            )
            return response.status, response.headers, body
    except (aiohttp.ClientError, OSError):
        return None


@then('each has the whole response or a failure')
def check_received(context):
    assert any(context.received), context.received
    for length, received in enumerate(context.received):
        if received is not None:
            status, headers, body = received
            is_own = status == _OWN_STATUS and body == _BODY
            assert is_own and set(headers) <= _OWN_NAMES, (length, received)


@given('instances that send the unfinished head {head} before each response')
def choose_unfinished_head(context, head):
    for upstream in context.gateway_stage.upstreams.values():
        upstream.unfinished_head = head.replace('; ', '\r\n').encode()
