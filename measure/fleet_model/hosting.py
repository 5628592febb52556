"""Choose the gateways that host the schedulers of pools."""

import enum

from measure.fleet_model.network import Network


class Hosting(enum.StrEnum):
    """
    Enumerate the strategies that are compared.

    Attributes
    ----------
    pool
        One gateway, chosen by rendezvous hashing, hosts the scheduler of a
        pool; this is the production behaviour.
    domain
        One gateway in each failure domain hosts a scheduler of the pool: a
        call contains pieces of requests from a single domain only.
    own
        Each gateway runs its own scheduler, which batches the gateway's own
        requests and sees its own calls only.
    """

    pool = 'pool'
    domain = 'domain'
    own = 'own'


def set_gateway_members(hosting: Hosting, network: Network) -> None:
    """Set the members of each gateway to those that share its schedulers."""
    members = [peer.make_member() for peer in network.gateways.values()]
    for gateway in network.gateways.values():
        own = gateway.make_member()
        if hosting is Hosting.pool:
            gateway.members.replace(members)
        elif hosting is Hosting.domain:
            gateway.members.replace(
                peer
                for peer in members
                if peer.failure_domain == own.failure_domain
            )
        else:
            gateway.members.replace([own])
        gateway.members.set_pools(network.sheet.pools)
