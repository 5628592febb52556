"""Define a gateway as known to the other gateways."""

from ragworthollow.utils.addresses import SocketAddress
from ragworthollow.utils.message import Message


class GatewayMember(Message):
    """
    Describe a gateway.

    Attributes
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Identifier of the process, which changes with every start.
    peer_address : SocketAddress
        Address at which other gateways reach it, `IP:PORT`.
    failure_domain : str
        Failure domain in which it runs.
    is_leaving : bool
        Whether it is shutting down: it still serves requests, but hosts no
        scheduler.
    capacity : float
        Number of cores that it can use for schedulers.
    """

    instance: str
    incarnation: str
    peer_address: SocketAddress
    failure_domain: str
    is_leaving: bool = False
    capacity: float = 0
