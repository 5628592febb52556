"""Steps for responses of peer gateways that come more than once."""

import asyncio
import contextlib

import msgspec
from behave import given, then, when
from result import Ok

from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.pieces import PieceOutcome, PieceResult
from ragworthollow.transport.host_messages import PING_PATH
from ragworthollow.transport.piece_messages import (
    PiecesRequest,
    decode_pieces,
    encode_results,
)
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.piece_exchange import request_pieces
from tests.fixtures.gateways import make_settings
from tests.fixtures.piece_pool import make_waiting_piece

_HEADER = 'X-Ragworthollow-Exchange-Id'
_COPIED_RESPONSE = 2
# Leaves time for the next request, so that a response meets it.
_DELAY_S = 0.003


@given('a host of a scheduler that sends its second response once more, late')
def prepare_host(context):
    context.served = 0


@when('{count:d} requests for pieces are sent to it, one after the other')
def send_requests(context, count):
    context.results = asyncio.run(_send_requests(count))


async def _send_requests(count) -> list:
    server = await asyncio.start_server(_serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    member = GatewayMember(
        instance='g2',
        incarnation='g2',
        peer_address=f'{host}:{port}',
        failure_domain='one',
    )
    gateway = GatewayContext(settings=make_settings())
    try:
        return [
            await request_pieces(
                gateway,
                member,
                'stage',
                (make_waiting_piece(0, request_id=f'request-{number}').piece,),
            )
            for number in range(count)
        ]
    finally:
        await gateway.close()
        server.close()


async def _serve(reader, writer) -> None:
    responses = []
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.split(': ', 1)
                for line in head.decode().split('\r\n')[1:]
                if line
            )
            body = await reader.readexactly(int(fields['Content-Length']))
            responses.append(_render_response(fields, body))
            if len(responses) == _COPIED_RESPONSE + 1:
                writer.write(responses[-2])
                await writer.drain()
            await asyncio.sleep(_DELAY_S)
            writer.write(responses[-1])
            await writer.drain()
    writer.close()


def _render_response(fields, body) -> bytes:
    message = msgspec.json.decode(body, type=PiecesRequest)
    (piece,) = decode_pieces(message, 0)
    result = PieceResult(
        outcome=PieceOutcome.done, handle=f'h/{piece.request_id}'
    )
    answer = msgspec.json.encode(encode_results((result,)))
    lines = ['HTTP/1.1 200 OK', f'Content-Length: {len(answer)}']
    identifier = fields.get(_HEADER)
    if identifier is not None:
        lines.append(f'{_HEADER}: {identifier}')
    return '\r\n'.join([*lines, '', '']).encode() + answer


@then('each of them gets the result of its own piece')
def check_results(context):
    handles = [
        result.ok_value[0].handle if isinstance(result, Ok) else result
        for result in context.results
    ]
    expected = [f'h/request-{number}' for number in range(len(handles))]
    assert handles == expected, handles


@when('a peer posts to the gateway, with and without an identifier')
def post_as_peer(context):
    context.named = context.gateway_stage.run(
        _post_as_peer(context.gateway_stage)
    )


async def _post_as_peer(stage) -> list[str | None]:
    address = stage.get_context().settings.peer_address
    named = []
    for headers in ({_HEADER: 'exchange-1'}, {}):
        async with stage.session.post(
            f'http://{address}{PING_PATH}', headers=headers
        ) as response:
            named.append(response.headers.get(_HEADER))
    return named


@then('the responses name what the peer has sent')
def check_named(context):
    assert context.named == ['exchange-1', None], context.named
