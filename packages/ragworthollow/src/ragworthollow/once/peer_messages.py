"""Define what members of a pool say to each other."""

from ragworthollow.once.record import KeyRecord
from ragworthollow.utils.message import Message


class MemberQuestion(Message):
    """
    Ask a member for a promise, or to take note of us.

    Attributes
    ----------
    instance : str
        Who asks.
    epoch : int
        Epoch of the record that the asker knows.
    """

    instance: str
    epoch: int


class MemberReply(Message):
    """
    Answer a member.

    Attributes
    ----------
    incarnation : str
        Process that answers.
    epoch : int
        Epoch that it knows.
    granted : bool
        Whether it gives the promise that was asked for.
    """

    incarnation: str
    epoch: int
    granted: bool = False


class RecordTransfer(Message):
    """
    Hand the records of ranges to their next owner.

    Attributes
    ----------
    instance : str
        Present owner.
    incarnation : str
        Process that is to take them.
    records : tuple of KeyRecord
        All of them.
    """

    instance: str
    incarnation: str
    records: tuple[KeyRecord, ...] = ()
