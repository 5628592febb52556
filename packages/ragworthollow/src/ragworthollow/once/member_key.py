"""Define the key with a lease that announces a live sidecar."""

from ragworthollow.utils.addresses import HostAddress
from ragworthollow.utils.message import Message


class MemberKey(Message):
    """
    Announce a live sidecar.

    Attributes
    ----------
    incarnation : str
        Id of the process.
    address : HostAddress
        `IP:PORT`.
    leaving : bool
        Whether the sidecar is shutting down: it transfers its ranges and
        accepts no more.
    """

    incarnation: str
    address: HostAddress
    leaving: bool = False
