"""Steps for gateways that receive store responses over slow links."""

import random

import msgspec
from aiohttp import ClientSession, web
from behave import given, step, then, when

from ragworthollow.configuration.configuration_synchronizer import (
    ConfigurationSynchronizer,
)
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.configuration.store import ConfigurationStore
from ragworthollow.membership import PeerDirectory
from ragworthollow.platform import (
    InstanceEntry,
    InstanceList,
    InstancePoller,
    StoreClient,
)
from tests.fixtures.gateways import HOST
from tests.standins.thin_link import BYTES_PER_MBIT, send_slowly


@given('a store behind a link of {mbit_per_s:d} Mbit/s')
def limit_store_bandwidth(context, mbit_per_s):
    store = context.gateway_stage.store
    store.faults.active = {'bytes_per_s': mbit_per_s * BYTES_PER_MBIT}


@given('the store stops in the middle of one answer')
def stall_response(context):
    stage = context.gateway_stage
    stage.store.faults.active = {'stall': 1, 'left': 1}
    stage.run(stage.wait_for(lambda: not stage.store.faults.active['left']))


@when('the operators add {count:d} routes')
def add_routes(context, count):
    _write_version(context, count, version=10)


@when('the operators add {count:d} routes in each of {versions:d} versions')
def add_routes_often(context, count, versions):
    context.sent_bytes_before = context.gateway_stage.store.sent_bytes
    for number in range(versions):
        _write_version(context, count, version=10 + number)


@step('the gateway applies the configuration')
def wait_for_configuration(context):
    stage = context.gateway_stage
    stage.run(stage.wait_for_configuration())


@when('instance {name} leaves')
def announce_leaving(context, name):
    stage = context.gateway_stage
    stage.run(stage.publish_instance(name, 'plain', state='draining'))


@then('the gateway sends to {name} only')
def check_only_instance(context, name):
    stage = context.gateway_stage
    directory = stage.get_context().directory
    stage.run(
        stage.wait_for(
            lambda: (
                [instance.instance for instance in directory.get_pool('plain')]
                == [name]
            ),
        ),
    )


@then('{count:d} further polls carry less than one configuration')
def check_polls(context, count):
    stage = context.gateway_stage
    stage.run(stage.wait_for_reads(1))
    bytes_before = stage.store.sent_bytes
    stage.run(stage.wait_for_reads(count))
    assert stage.store.sent_bytes - bytes_before < _get_configuration_size(
        stage
    )


@then('it received no more than {count:d} configurations')
def check_received(context, count):
    stage = context.gateway_stage
    sent = stage.store.sent_bytes - context.sent_bytes_before
    # The responses also carry the instance list, which gets an allowance of
    # a tenth of a configuration.
    assert sent <= (count + 0.1) * _get_configuration_size(stage), sent


@given('a peer that answers at {mbit_per_s:d} Mbit/s')
def limit_peer_bandwidth(context, mbit_per_s):
    context.peer_bytes_per_s = mbit_per_s * BYTES_PER_MBIT


@when('a process requests {size_kb:d} kB of configuration from it')
def pull_configuration(context, size_kb):
    text = 'x' * size_kb * 1000
    body = msgspec.json.encode(Snapshot(files_by_sha256={'some': text}))
    context.is_accepted = context.gateway_stage.run(
        _fetch_from_peer(context, body, _pull),
    )


@when('a process requests the instances of a fleet of {count:d} from it')
def poll_instances(context, count):
    instance_list = InstanceList(
        revision=1,
        instances=tuple(
            InstanceEntry(
                instance=f'instance-{number}',
                pool='pool',
                failure_domain='one',
                address=f'127.0.0.1:{number}',
            )
            for number in range(count)
        ),
    )
    body = msgspec.json.encode(instance_list)
    context.is_accepted = context.gateway_stage.run(
        _fetch_from_peer(context, body, _poll),
    )


@then('the response is accepted')
def check_accepted(context):
    assert context.is_accepted


async def _fetch_from_peer(context, body: bytes, fetch) -> bool:
    async def handle(request: web.Request) -> web.StreamResponse:
        response = web.Response(body=body)
        return await send_slowly(request, response, context.peer_bytes_per_s)

    stage = context.gateway_stage
    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    port = stage.ports.take()
    await web.TCPSite(runner, HOST, port).start()
    try:
        return await fetch(stage.session, f'{HOST}:{port}')
    finally:
        await runner.cleanup()


async def _pull(session: ClientSession, address: str) -> bool:
    follower = ConfigurationSynchronizer(
        key_value=StoreClient(session=session, base_url=f'http://{address}'),
        store=ConfigurationStore(instance='asker'),
        peers=PeerDirectory(
            instance='asker',
            failure_domain='one',
            rng=random.Random(1),
        ),
        session=session,
        count_event=str,
    )
    return await follower.pull(address, wait_ms=0)


async def _poll(session: ClientSession, address: str) -> bool:
    lists: list[InstanceList] = []
    poller = InstancePoller(
        session=session,
        url=f'http://{address}/',
        on_change=lists.append,
    )
    await poller.poll()
    return bool(lists)


def _write_version(context, count: int, *, version: int) -> None:
    stage = context.gateway_stage
    first = stage.configuration['routes'][0]
    added = [
        {
            **first,
            'name': f'r-{version}-{number}',
            'path_prefix': f'/at{number}/',
        }
        for number in range(count)
    ]
    routes = [*stage.configuration['routes'][:4], *added]
    stage.run(stage.configure(version=version, routes=routes))


def _get_configuration_size(stage) -> int:
    return len(stage.store.entries['op/config'].value)
