"""Steps of the grace time within which a shutdown has to end."""

import asyncio
from types import SimpleNamespace

from behave import then, when

from measure.fleet_model.virtual_time import run_virtually
from ragworthollow.utils import get_boottime_ms, override_clocks
from ragworthollow_daemon.gateway.role import GatewayRole
from tests.fixtures.gateways import make_settings

_GRACE_S = 8.0


async def _shut_down(suspended_ms: int, after_ms: int) -> SimpleNamespace:
    loop = asyncio.get_running_loop()
    start_ms = loop.get_ms()

    def read_boottime_ms() -> float:
        is_resumed = loop.get_ms() >= start_ms + after_ms
        return loop.get_ms() + (suspended_ms if is_resumed else 0)

    result = SimpleNamespace(is_aborted=None)
    with override_clocks(read_boottime_ms):
        role = GatewayRole(settings=make_settings(grace_s=_GRACE_S))
        serving = asyncio.ensure_future(_serve(role))
        await asyncio.sleep(0)
        requested_ms = get_boottime_ms()
        role.begin_shutdown()
        await role.stop()
        result.elapsed_ms = get_boottime_ms() - requested_ms
        result.is_aborted = serving.done() and serving.result() is None
        await role.close()
    return result


async def _serve(role: GatewayRole) -> object:
    with role.context.drain.serving():
        return await role.context.stop.run(asyncio.Event().wait())


@when(
    'a process that serves a request without end stops and is suspended '
    'for {suspended_ms:d} ms, {after_ms:d} ms after it was asked to',
)
def shut_down(context, suspended_ms, after_ms):
    context.shutdown = run_virtually(_shut_down(suspended_ms, after_ms))


@then('it has cancelled the request before its grace time was over')
def check_aborted_in_time(context):
    assert context.shutdown.is_aborted
    assert context.shutdown.elapsed_ms < _GRACE_S * 1000, (
        context.shutdown.elapsed_ms
    )
