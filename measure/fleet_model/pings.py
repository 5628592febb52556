"""Ping the hosts of schedulers from simulated gateways."""

import asyncio
from typing import TYPE_CHECKING

from measure.fleet_model.network import Network
from ragworthollow.conf import global_settings
from ragworthollow.transport.host_messages import HostState
from ragworthollow.utils import get_monotonic_ms

if TYPE_CHECKING:
    from measure.fleet_model.gateway import ModelGateway

_MILLISECONDS = 1000


async def ping_hosts(gateway: 'ModelGateway', network: Network) -> None:
    """Ping all other known gateways periodically until cancelled."""
    while True:
        await asyncio.sleep(global_settings.HOST_PING_MS / _MILLISECONDS)
        await asyncio.gather(
            *(
                _ping(gateway, name, network)
                for name in tuple(gateway.members.get_members())
                if name != gateway.name
            ),
        )


async def _ping(gateway: 'ModelGateway', name: str, network: Network) -> None:
    timeout_ms = global_settings.HOST_PING_TIMEOUT_MS
    try:
        async with asyncio.timeout(timeout_ms / _MILLISECONDS):
            state = await _request_state(gateway, name, network)
    except TimeoutError:
        state = None
    if state is None:
        gateway.members.mark_unresponsive(name)
    else:
        gateway.members.record_response(state)


async def _request_state(
    gateway: 'ModelGateway',
    name: str,
    network: Network,
) -> HostState | None:
    if not await network.try_deliver(gateway.name, name):
        return None
    peer = network.gateways[name]
    peer.service.requesters.record_ping(
        gateway.name,
        gateway.context.incarnation,
        get_monotonic_ms(),
    )
    peer.service.get_schedulers().peer_announcements.record(
        gateway.name,
        gateway.service.get_schedulers().announced.get_counts(),
        get_monotonic_ms(),
    )
    state = HostState(instance=name, waits_ms=peer.service.get_waits_ms())
    if not await network.try_deliver(name, gateway.name):
        return None
    return state
