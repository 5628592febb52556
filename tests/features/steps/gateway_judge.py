"""Steps of the judge of the soak of gateway processes."""

import random
import time

from behave import given, then, when

from measure.faulty_fleet import FaultyFleet
from measure.gateway_judge import GatewayJudge
from measure.sent_request import Sent
from tests.fixtures.open_connection import OpenConnection

_ENGINE = 'v1-u1'
_GATEWAY = 'g1'
_STREAM = '/stream/paced?50'
_LIMIT_MS = 9000


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


async def _begin_stream(fleet):
    await fleet.add_upstream(_ENGINE, 'plain')
    port = int(fleet.upstreams[_ENGINE].address.partition(':')[2])
    connection = OpenConnection(port=port)
    await connection.open()
    connection.send(_STREAM, 'c000-0000')
    await fleet.wait_for(lambda: fleet.upstreams[_ENGINE].runs)
    await fleet.replace_engine(_ENGINE, 0)
    return connection


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
