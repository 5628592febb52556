"""Define steps for schedulers whose host changes."""

import asyncio

import msgspec
from behave import given, then, when

from ragworthollow.pieces import StoredResult
from ragworthollow.transport.piece_messages import ResultsRelease
from ragworthollow_daemon.gateway.piece_exchange import FREE_PATH
from tests.fixtures.stage_requests import GATEWAY_NAMES, send_stage_requests

# Later than any reading of this machine's monotonic clock.
_FAR_FUTURE_MS = 1e15


def _find_host(stage) -> str:
    """Return the gateway that hosts the stage scheduler, as seen by g1."""
    return _find_host_as_seen_by(stage, 'g1')


@when(
    'the host of the scheduler is killed while {count:d} callers wait for '
    'pieces'
)
def kill_host(context, count):
    stage = context.gateway_stage
    context.responses = stage.run(_kill_host(stage, count))


async def _kill_host(stage, count):
    role, sending = await _queue_at_host(stage, count)
    await role.close()
    return await sending


async def _queue_at_host(stage, count):
    """
    Send requests through the other gateways and wait for the first call.

    Returns
    -------
    tuple
        The role of the host gateway, and the future of the responses.
    """
    host = _find_host(stage)
    others = [name for name in GATEWAY_NAMES if name != host]
    sending = asyncio.ensure_future(
        send_stage_requests(stage, count, '/staged/answer', others),
    )
    upstream = stage.upstreams['s1']
    await stage.wait_for(lambda: upstream.calls)
    role = stage.gateways[host]
    await stage.wait_for(lambda: 'stage' in role._handover._hosted)
    return role, sending


@when('the host of the scheduler stops while {count:d} callers wait for pieces')
def stop_host(context, count):
    stage = context.gateway_stage
    context.responses = stage.run(_stop_host(stage, count))


async def _stop_host(stage, count):
    role, sending = await _queue_at_host(stage, count)
    role.begin_shutdown()
    await role.stop()
    return await sending


@given('gateways hand over their schedulers {delay_ms:d} ms late')
def delay_transfers(context, delay_ms):
    for role in context.gateway_stage.gateways.values():
        _delay_transfers(role._handover, delay_ms)


def _delay_transfers(handover, delay_ms: int) -> None:
    send = handover._send

    async def send_late(host, transfer):
        await asyncio.sleep(delay_ms / 1000)
        await send(host, transfer)

    handover._send = send_late


@then('the instance never had two calls at a time')
def check_one_call_at_a_time(context):
    assert context.gateway_stage.upstreams['s1'].max_active_calls == 1


@when('two gateways stop and another one starts meanwhile')
def stop_two(context):
    context.gateway_stage.run(_stop_two(context.gateway_stage))


async def _stop_two(stage):
    for name in ('g1', 'g2'):
        stage.gateways[name].begin_shutdown()
        await stage.gateways[name].membership.leave()
    await stage.add_gateway('g4')
    await stage.wait_for(lambda: 'g4' in _get_members(stage, 'g1'))


def _get_members(stage, name):
    return stage.gateways[name].members.get_members()


@then('the stopping gateways choose the new or the third gateway as host')
def check_new_host(context):
    stage = context.gateway_stage
    hosts = {
        stage.gateways[name].members.find_host('stage').instance
        for name in ('g1', 'g2')
    }
    assert len(hosts) == 1, hosts
    assert hosts <= {'g3', 'g4'}, hosts


@when('a result counted by the host is released through another gateway')
def release_elsewhere(context):
    context.gateway_stage.run(_release_elsewhere(context.gateway_stage))


async def _release_elsewhere(stage) -> None:
    host = _find_host(stage)
    producer = stage.upstreams['s1']
    handle = f'{producer.address}/kept'
    _get_result_space(stage, host).add(
        StoredResult(
            handle=handle,
            instance='s1',
            result_bytes=1_000_000,
            expires_ms=_FAR_FUTURE_MS,
        ),
    )
    other = next(name for name in GATEWAY_NAMES if name != host)
    await stage.wait_for(
        lambda: _find_host_as_seen_by(stage, other) == host,
    )
    address = stage.get_context(other).settings.peer_address
    release = ResultsRelease(pool='stage', handles=(handle,))
    async with stage.session.post(
        f'http://{address}{FREE_PATH}',
        data=msgspec.json.encode(release),
    ) as response:
        assert response.status == 200
    await stage.wait_for(lambda: producer.released_handles)


def _find_host_as_seen_by(stage, name: str) -> str:
    host = stage.gateways[name].members.find_host('stage')
    return name if host is None else host.instance


def _get_result_space(stage, name: str):
    return (
        stage.gateways[name].service.get_schedulers().get('stage').result_space
    )


@then('it is released once, and the host no longer counts it')
def check_released_once(context):
    stage = context.gateway_stage
    assert len(stage.upstreams['s1'].released_handles) == 1
    used = _get_result_space(stage, _find_host(stage)).get_used_bytes(0)
    assert not used, used
