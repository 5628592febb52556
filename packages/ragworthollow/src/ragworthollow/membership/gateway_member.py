"""Define a gateway as the others know it."""

from ragworthollow.utils.message import Message


class GatewayMember(Message):
    """
    Name a gateway.

    Attributes
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Changes with every start.
    peer_address : str
        Where other gateways reach it, `IP:PORT`.
    failure_domain : str
        Where it runs.
    is_leaving : bool
        Whether it is stopping: it still serves, but hosts no gate.
    capacity : float
        Cores that it can use for gates.
    """

    instance: str
    incarnation: str
    peer_address: str
    failure_domain: str
    is_leaving: bool = False
    capacity: float = 0
