"""Define what members of a pool say to each other."""

from ragworthollow.once.assignment import Assignment
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
    assignment : Assignment or None
        That record, for a member that knows an older one.
    """

    instance: str
    epoch: int
    assignment: Assignment | None = None


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
    assignment : Assignment or None
        Its record, for an asker that knows an older one.
    """

    incarnation: str
    epoch: int
    granted: bool = False
    assignment: Assignment | None = None


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
