"""Define the leased key by which a sidecar shows that it is alive."""

from ragworthollow.utils.message import Message


class MemberKey(Message):
    """
    Show a live sidecar.

    Attributes
    ----------
    incarnation : str
        The process.
    address : str
        `IP:PORT`.
    leaving : bool
        Whether it hands its ranges over and takes no more.
    """

    incarnation: str
    address: str
    leaving: bool = False
