"""Choose who fills the calls of a pool."""

import enum

from measure.fleet_model.network import Network


class Hosting(enum.StrEnum):
    """
    Name the ways that are weighed.

    Attributes
    ----------
    pool
        One gateway hosts the gate of a pool, chosen by rendezvous hashing;
        this is what the product does.
    domain
        A gateway hosts the gate of a pool for its own failure domain: calls
        are filled by the requests of one domain only.
    own
        Each gateway fills calls with its own requests and knows of its own
        calls only.
    """

    pool = 'pool'
    domain = 'domain'
    own = 'own'


def connect(hosting: Hosting, network: Network) -> None:
    """Make the gateways known to those with which they share gates."""
    everyone = [one.describe() for one in network.gateways.values()]
    for gateway in network.gateways.values():
        own = gateway.describe()
        if hosting is Hosting.pool:
            gateway.members.replace(everyone)
        elif hosting is Hosting.domain:
            gateway.members.replace(
                one
                for one in everyone
                if one.failure_domain == own.failure_domain
            )
        else:
            gateway.members.replace([own])
        gateway.members.set_pools(network.sheet.pools)
