"""Create the components that keep a gateway's replica of the store fresh."""

from collections.abc import Sequence

from ragworthollow.conf import global_settings
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.pieces import AnnouncedWork
from ragworthollow.replica import derive_poll_intervals
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.host_pinger import HostPinger
from ragworthollow_daemon.gateway.store_poller import (
    StorePoller,
    StoreSubscriber,
)
from ragworthollow_daemon.gateway.update_client import UpdateClient


def make_store_poller(
    *,
    context: GatewayContext,
    members: GatewayMembers,
    subscribers: Sequence[StoreSubscriber],
) -> StorePoller:
    """
    Create the store poller with polling intervals from the settings.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    members : GatewayMembers
        Gateways of the cluster.
    subscribers : sequence of StoreSubscriber
        Subscribers, in the order in which they are notified.
    """
    settings = context.settings
    update_client = UpdateClient(context=context, members=members)
    return StorePoller(
        context=context,
        subscribers=subscribers,
        replica=context.replica,
        intervals=derive_poll_intervals(
            bound_ms=settings.get_shortest_bound_ms(),
            heartbeat_ms=settings.instance_heartbeat_ms,
        ),
        get_reader_rank=members.get_reader_rank,
        ask_peers=update_client.request_updates,
        jitter=context.rng.uniform(0, global_settings.STALENESS_JITTER),
    )


def make_host_pinger(
    *,
    context: GatewayContext,
    members: GatewayMembers,
    announced: AnnouncedWork,
    store_poller: StorePoller,
) -> HostPinger:
    """
    Create the component that pings hosts and applies their store updates.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    members : GatewayMembers
        Gateways of the cluster.
    announced : AnnouncedWork
        Work that is announced to hosts.
    store_poller : StorePoller
        Applies the updates to the replica of the store.
    """
    return HostPinger(
        context=context,
        members=members,
        announced=announced,
        apply_update=store_poller.apply_update,
    )
