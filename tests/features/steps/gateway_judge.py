"""Steps of the judge of the soak of gateway processes."""

import random
import time

from behave import given, then, when

from measure.burst_caller import BurstCaller
from measure.faulty_fleet import FaultyFleet
from measure.gateway_judge import GatewayJudge
from measure.sent_request import Sent
from tests.fixtures.open_connection import OpenConnection
from tests.standins.upstream import EVENT_COUNT

_ENGINE = 'v1-u1'
_GATEWAY = 'g1'
_STREAM = '/stream/paced?50'
_RESUMABLE = '/resumable/paced?50'
_LIMIT_MS = 9000
_OK = 200


@given('a stream of an engine that another name replaces while it runs')
def begin_stream(context):
    fleet = FaultyFleet(size=1, rng=random.Random(0))
    context.fleet = fleet
    fleet.run(fleet.open())
    context.connection = fleet.run(_begin_stream(fleet))
    context.add_cleanup(_close, fleet, context.connection)
    context.sent = _make_sent('c000-0000', _STREAM)


@when('the engine crashes')
def crash(context):
    (engine,) = context.fleet.upstreams.values()
    context.fleet.crash_engine(engine)


@when('the connection of the stream is closed')
def close_connection(context):
    context.connection.close()


@then('the stream counts as {verdict}')
def check_stream(context, verdict):
    context.sent.ended_s = time.monotonic()
    _check(context.fleet, [context.sent], verdict)


@when('a caller of bursts resumes a stream of v1 and gets events of {version}')
def resume(context, version):
    context.fleet = FaultyFleet(size=1, rng=random.Random(0))
    context.add_cleanup(context.fleet.loop.close)
    context.sent = context.fleet.run(_resume(context.fleet, version))


@then('the resumption counts as {verdict}')
def check_resumption(context, verdict):
    _check(context.fleet, context.sent, verdict)


async def _begin_stream(fleet):
    await fleet.add_upstream(_ENGINE, 'plain')
    port = int(fleet.upstreams[_ENGINE].address.partition(':')[2])
    connection = OpenConnection(port=port)
    await connection.open()
    connection.send(_STREAM, 'c000-0000')
    await fleet.wait_for(lambda: fleet.upstreams[_ENGINE].runs)
    await fleet.replace_engine(_ENGINE, 0)
    return connection


async def _resume(fleet, version):
    """Let a caller send a stream that breaks off, and its resumption."""
    caller = BurstCaller(name='b000', fleet=fleet, rng=random.Random(0))
    begun = _make_sent('b000-0000', _RESUMABLE)
    begun.body = _make_event(1, begun.request_id, 'v1')
    caller.sent.append(begun)
    await caller._send(_Connection(version))
    return caller.sent


class _Connection:
    """Answer a request with the rest of its stream, as a gateway does."""

    def __init__(self, version):
        self._version = version

    def send(self, _path, request_id, *headers, **_options):
        assert headers == ('Last-Event-Id: 1',), headers
        self.received = ''.join(
            _make_event(number, request_id, self._version)
            for number in range(2, EVENT_COUNT + 1)
        ).encode()

    async def read_response(self):
        return _Response()


class _Response:
    status = _OK
    retry_after_s = 0
    is_last = False


def _make_event(number, request_id, version):
    return f'id: {number}\ndata: {request_id} {version}-u1\n\n'


def _make_sent(request_id, path):
    return Sent(
        request_id=request_id,
        path=path,
        limit_ms=_LIMIT_MS,
        gateway=_GATEWAY,
        is_first=True,
        started_s=time.monotonic(),
        ended_s=time.monotonic(),
    )


def _check(fleet, sent, verdict):
    judge = GatewayJudge(fleet=fleet, sent=sent)
    judge.judge(sent[-1])
    assert sent[-1].verdict == verdict, sent[-1]


def _close(fleet, connection):
    connection.close()
    (engine,) = fleet.upstreams.values()
    fleet.run(fleet.wait_for(engine.is_idle))
    fleet.run(fleet.close())
    fleet.loop.close()
