"""Assemble what keeps a gateway's copy of the store young."""

from collections.abc import Sequence

from ragworthollow.conf import global_settings
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.pieces import AnnouncedWork
from ragworthollow.replica import derive_paces
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.host_pings import HostPings
from ragworthollow_daemon.gateway.news_client import NewsClient
from ragworthollow_daemon.gateway.store_follower import Follower, StoreFollower


def make_store_follower(
    *,
    context: GatewayContext,
    members: GatewayMembers,
    followers: Sequence[Follower],
) -> StoreFollower:
    """
    Make the follower of a gateway, with paces from its bounds.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    members : GatewayMembers
        The other gateways.
    followers : sequence of Follower
        In the order in which they are told.
    """
    settings = context.settings
    peers = NewsClient(context=context, members=members)
    return StoreFollower(
        context=context,
        followers=followers,
        replica=context.replica,
        paces=derive_paces(
            bound_ms=settings.get_shortest_bound_ms(),
            heartbeat_ms=settings.instance_heartbeat_ms,
        ),
        get_place=members.get_reader_place,
        ask_peers=peers.ask,
        spread=context.rng.uniform(0, global_settings.TRUST_SPREAD),
    )


def make_host_pings(
    *,
    context: GatewayContext,
    members: GatewayMembers,
    announced: AnnouncedWork,
    follower: StoreFollower,
) -> HostPings:
    """
    Make what asks hosts, and takes what they tell of the store.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    members : GatewayMembers
        The other gateways.
    announced : AnnouncedWork
        Work that hosts are told of.
    follower : StoreFollower
        Keeps the copy of the store.
    """
    return HostPings(
        context=context,
        members=members,
        announced=announced,
        take_news=follower.take_news,
    )
