"""Steps for a gateway in front of stand-ins for the platform."""

import asyncio
import re
import socket
import time
from types import SimpleNamespace

from behave import given, then, when

from ragworthollow.conf import global_settings
from ragworthollow.utils import get_boottime_ms

_FITTING_LIMIT_MS = 2_000
# Time in which a request that is sent arrives, also on a busy machine.
_ARRIVAL_MS = 500
_FORGED_HEADERS = {
    'X-Ragworthollow-Tenant': 'rival',
    'X-Ragworthollow-Hold': 'of-another',
    'X-Ragworthollow-Pin-Ms': '4000',
    'X-Ragworthollow-Kv-Backup': '10.0.0.1:1',
    'Kv-From': '10.0.0.1:1/x',
    'X-Ragworthollow-Request-Priority': '0',
    'X-Ragworthollow-Expect-Instance': 'i-forged',
}
# More connections than a queue of length 0 takes.
_ACCEPT_QUEUE_LENGTH = 4


def _count_runs(context) -> int:
    stage = context.gateway_stage
    return sum(
        upstream.count_runs(context.response.request_id)
        for upstream in stage.upstreams.values()
    )


@when('a caller posts to {path:S}')
def post(context, path):
    stage = context.gateway_stage
    context.response = stage.run(stage.send(path))


@when('a caller gets {path:S}')
def get(context, path):
    stage = context.gateway_stage
    context.response = stage.run(stage.send(path, method='GET'))


@when('{count:d} callers post to {path:S}')
def send_many(context, count, path):
    stage = context.gateway_stage

    async def send_all():
        return await asyncio.gather(*(stage.send(path) for _ in range(count)))

    context.responses = stage.run(send_all())


@then('it gets status {status:d} and the request has run {runs:d} times')
def check_status(context, status, runs):
    response = context.response
    assert response.status == status, response
    assert _count_runs(context) == runs, _count_runs(context)


@then('the answer has a Retry-After and no signature')
def check_refusal(context):
    headers = context.response.headers
    assert float(headers['Retry-After']) > 0
    assert 'X-Ragworthollow-Response-Signature' not in headers


@when('the second answer has come')
def wait_for_second_response(context):
    stage = context.gateway_stage
    stage.run(stage.wait_for(lambda: _has_unread_bytes(stage)))


def _has_unread_bytes(stage) -> bool:
    """Return whether a pooled connection has received unrequested bytes."""
    connector = stage.get_context().upstream_session.connector
    return any(
        protocol.should_close
        for connections in connector._conns.values()  # noqa: SLF001
        for protocol, _ in connections
    )


@then('each of them got its own complete response')
def check_own_responses(context):
    for response in context.responses:
        assert response.status == 200, response
        assert response.body == b'whole answer', response
        echoed = response.headers['X-Ragworthollow-Request-Id']
        assert echoed == response.request_id


@given('a gateway that pauses each time it connects to an upstream')
def pause_connecting(context):
    stage = context.gateway_stage
    connect = stage.loop.sock_connect
    addresses = {upstream.address for upstream in stage.upstreams.values()}
    pause_s = 2 * global_settings.UPSTREAM_CONNECT_TIMEOUT_MS / 1000

    async def connect_and_pause(sock, address) -> None:
        if ':'.join(map(str, address)) in addresses:
            # Runs once the connection has been requested.
            stage.loop.call_soon(time.sleep, pause_s)
        await connect(sock, address)

    stage.loop.sock_connect = connect_and_pause


@given('instance {name:w} does not accept connections')
def fill_accept_queue(context, name):
    stage = context.gateway_stage
    upstream = stage.upstreams[name]
    stage.run(upstream.stop())
    host, _, port = upstream.address.partition(':')
    listener = socket.create_server((host, int(port)), backlog=0)
    context.add_cleanup(listener.close)
    for _ in range(_ACCEPT_QUEUE_LENGTH):
        client = socket.socket()
        context.add_cleanup(client.close)
        client.setblocking(False)
        client.connect_ex((host, int(port)))


@when('a caller forges the headers that the system sets')
def send_forged_headers(context):
    stage = context.gateway_stage
    sending = stage.send('/unsafe/answer', headers=_FORGED_HEADERS)
    context.response = stage.run(sending)


@then("the upstream saw the system's own and never the caller's key")
def check_forged(context):
    assert context.response.status == 200, context.response
    (run,) = [
        run
        for upstream in context.gateway_stage.upstreams.values()
        for run in upstream.runs
        if run.request_id == context.response.request_id
    ]
    assert run.headers['x-ragworthollow-tenant'] == 'one'
    assert run.headers['x-ragworthollow-request-priority'] == '2'
    assert run.headers['x-ragworthollow-expect-instance'] in {'u1', 'u2'}
    absent = {'authorization', 'kv-from', 'x-ragworthollow-hold'}
    absent |= {'x-ragworthollow-pin-ms', 'x-ragworthollow-kv-backup'}
    assert not absent & run.headers.keys(), run.headers


@when('the gateway is sent {what}')
def send_refused(context, what):
    stage = context.gateway_stage
    context.response = stage.run(_send_refused(stage, what))


async def _send_refused(stage, what):
    if what == 'an unknown key':
        headers = {'Authorization': 'Bearer of-nobody'}
        return await stage.send('/safe/answer', headers=headers)
    if what == 'a path without a route':
        return await stage.send('/nowhere/answer')
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 5,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    }
    await stage.configure(version=7, limits=limits)
    await stage.wait_for_configuration()
    return await stage.send('/safe/answer')


@given('upstreams that break off streams after {count:d} events')
def break_streams(context, count):
    for upstream in context.gateway_stage.upstreams.values():
        upstream.stop_after = count


def _get_event_ids(context) -> list[int]:
    return [
        int(event_id) for event_id in re.findall(rb'id: (\d+)', _body(context))
    ]


def _body(context) -> bytes:
    return context.response.body


@then('it gets all {count:d} events once, in order, and the end')
def check_stream(context, count):
    assert _get_event_ids(context) == list(range(1, count + 1)), _body(context)
    assert context.response.is_whole


@then('it gets {count:d} events and a broken connection')
def check_truncated_stream(context, count):
    assert _get_event_ids(context) == list(range(1, count + 1)), _body(context)
    assert not context.response.is_whole


@when('a caller disconnects while {path} is worked on')
def disconnect_caller(context, path):
    stage = context.gateway_stage
    stage.run(_disconnect_caller(stage, path))


async def _disconnect_caller(stage, path):
    sending = asyncio.ensure_future(stage.send(path, request_id='leaver'))
    await stage.wait_for(
        lambda: any(
            upstream.count_runs('leaver')
            for upstream in stage.upstreams.values()
        ),
    )
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)


@then('the upstream sees the connection close')
def check_upstream_disconnected(context):
    stage = context.gateway_stage
    stage.run(
        stage.wait_for(
            lambda: any(
                'leaver' in upstream.disconnected_request_ids
                for upstream in stage.upstreams.values()
            ),
        ),
    )


@when('a caller waits {limit_ms:d} ms for {path}')
def send_with_timeout(context, limit_ms, path):
    stage = context.gateway_stage
    context.response = stage.run(stage.send(path, limit_ms=limit_ms))


@given('instance {name} reports that it shuts down')
def announce_leaving(context, name):
    stage = context.gateway_stage
    stage.run(stage.publish_instance(name, 'plain', 'draining'))


@when('the list has been read')
def wait_for_instance_list(context):
    stage = context.gateway_stage
    directory = stage.get_context().directory
    stage.run(
        stage.wait_for(lambda: len(directory.get_pool('plain')) == 1),
    )


@then('instance {name} got none of them')
def check_no_requests(context, name):
    upstream = context.gateway_stage.upstreams[name]
    request_ids = {response.request_id for response in context.responses}
    assert not request_ids & {
        request.request_id for request in upstream.arrivals
    }


@given('instance {name} was replaced at its address by another one')
def replace_instance(context, name):
    context.gateway_stage.upstreams[name].name = 'i-newcomer'


@given('the route of {prefix} allows 1 attempt')
def limit_attempts(context, prefix):
    stage = context.gateway_stage
    routes = [
        {**route, 'max_attempts': 1}
        if route['path_prefix'] == prefix
        else route
        for route in stage.configuration['routes']
    ]
    version = stage.configuration['version'] + 1
    stage.run(stage.configure(routes=routes, version=version))
    stage.run(stage.wait_for_configuration())


@given('the store leaves watches waiting and drops its history')
def silence_watches(context):
    stage = context.gateway_stage
    stage.store.faults.active = {'deaf': 1}
    stage.store.history.clear()


@when('the operators add a route for /new/')
def add_route(context):
    stage = context.gateway_stage
    route = {**stage.configuration['routes'][0]}
    route.update(name='r-new', path_prefix='/new/')
    routes = [*stage.configuration['routes'], route]
    stage.run(stage.configure(version=20, routes=routes))


@then('the gateway serves /new/answer within its bound')
def check_new_route(context):
    stage = context.gateway_stage
    stage.run(stage.wait_for_configuration())
    response = stage.run(stage.send('/new/answer'))
    assert response.status == 200, response


@when(
    'the operators write version {new:d} '
    'and the store then shows version {old:d}',
)
def revert_version(context, new, old):
    stage = context.gateway_stage
    stage.run(stage.configure(version=new))
    stage.run(stage.wait_for_configuration())
    stage.run(stage.configure(version=old))
    stage.run(stage.wait_for_reads(3))


@then('the gateway stays at version {version:d}')
def check_version(context, version):
    assert context.gateway_stage.get_context().route_table.version == version


_STORE_FAULTS = {
    'refuses every call': 'refuse',
    'drops every call': 'down',
    'answers no call': 'mute',
}


@given('a store that {fault}')
def fail_store(context, fault):
    stage = context.gateway_stage
    if fault not in _STORE_FAULTS:
        stage.run(_expire_entries(stage))
        return
    stage.store.faults.active = {_STORE_FAULTS[fault]: 1}
    stage.run(stage.wait_for(lambda: _has_outage_event(stage)))


async def _expire_entries(stage) -> None:
    stage.store.faults.active = {'down': 1}
    await stage.wait_for(lambda: _has_outage_event(stage))
    for name in stage.upstreams:
        stage.store.entries.pop(f'servers/{name}')
    directory = stage.get_context().directory
    earlier_ms = directory.updated_ms
    stage.store.faults.active = {}
    await stage.wait_for(lambda: directory.updated_ms > earlier_ms)


def _has_outage_event(stage) -> bool:
    rendered = stage.get_context().metrics.render()
    return b'instance_list_unavailable' in rendered


@then('the gateway applies changes again after the fault')
def check_updates_resume(context):
    stage = context.gateway_stage
    stage.store.faults.active = {}
    stage.run(stage.configure(version=50))
    stage.run(stage.wait_for_configuration())


@when('the gateway is asked to stop while requests come')
def stop_gateway(context):
    stage = context.gateway_stage
    context.stopping = stage.run(_stop_gateway(stage))


async def _stop_gateway(stage) -> SimpleNamespace:
    role = stage.gateways['g1']
    role.begin_shutdown()
    stopping = asyncio.ensure_future(role.stop())
    url = f'http://{role.context.settings.ready_address}/api/ready'
    async with stage.session.get(url) as response:
        readiness = response.status
    responses = []
    # Until then the load balancer may send requests here.
    ends_ms = get_boottime_ms() + global_settings.GATEWAY_BALANCER_LAG_MS
    while get_boottime_ms() < ends_ms - _ARRIVAL_MS:
        # A request with a longer limit may be refused as not run, since it
        # could not finish before the process is killed.
        responses.append(
            await stage.send('/safe/answer', limit_ms=_FITTING_LIMIT_MS)
        )
        await asyncio.sleep(0.1)
    await stopping
    return SimpleNamespace(readiness=readiness, responses=responses)


@then('readiness is negative at once and every request is answered completely')
def check_stop(context):
    outcome = context.stopping
    assert outcome.readiness == 503, outcome
    assert outcome.responses, outcome
    assert all(response.status == 200 for response in outcome.responses), (
        outcome
    )


@when('the gateway is asked to stop in the middle of {path:S}')
def stop_in_stream(context, path):
    context.streaming, context.stopping = context.gateway_stage.run(
        _stop_in_stream(context.gateway_stage, path),
    )


async def _stop_in_stream(stage, path):
    streaming = asyncio.ensure_future(stage.send(path))
    await stage.wait_for(
        lambda: any(upstream.runs for upstream in stage.upstreams.values()),
    )
    role = stage.gateways['g1']
    role.begin_shutdown()
    return streaming, asyncio.ensure_future(role.stop())


@when('the upstream then continues')
def resume_upstream(context):
    stage = context.gateway_stage
    stage.run(stage.wait_for(lambda: _is_past_balancer_lag(stage)))
    # The process exits as soon as `role.stop()` returns.
    assert not context.stopping.done()
    for upstream in stage.upstreams.values():
        upstream.resume_event.set()
    context.response = stage.run(asyncio.wait_for(context.streaming, 20))
    stage.run(asyncio.wait_for(context.stopping, 20))


def _is_past_balancer_lag(stage) -> bool:
    """Return whether the shutdown only waits for requests in flight."""
    shutdown_state = stage.get_context().stop
    grace_ms = stage.get_context().settings.grace_s * 1000
    elapsed_ms = grace_ms - shutdown_state.get_remaining_ms(get_boottime_ms())
    return elapsed_ms > (
        global_settings.GATEWAY_BALANCER_LAG_MS
        + global_settings.GATEWAY_STOP_MARGIN_MS
        + 4 * global_settings.GATEWAY_FINAL_RESPONSES_MS
    )


@when('another gateway starts and is ready')
def start_another_gateway(context):
    stage = context.gateway_stage
    stage.run(stage.add_gateway('g2'))
    stage.run(stage.wait_for_configuration('g2'))
    directory = stage.get_context('g2').directory
    stage.run(stage.wait_for(lambda: directory.get_pool('plain')))


@then('it has called the store no more than {count:d} times')
def check_store_calls(context, count):
    # Configuration, instances, a lease, a member record and the member list.
    calls = context.gateway_stage.get_context('g2').store.calls
    assert calls <= count, calls
