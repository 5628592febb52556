"""Define the messages between the members of a pool."""

from ragworthollow.once.assignment import Assignment
from ragworthollow.once.record import KeyRecord
from ragworthollow.utils.message import Message


class MemberRequest(Message):
    """
    Ask a member for a promise, or to register the sender.

    Attributes
    ----------
    instance : str
        Name of the requester.
    epoch : int
        Epoch of the assignment that the requester knows.
    assignment : Assignment or None
        That assignment, for a member that knows an older epoch.
    """

    instance: str
    epoch: int
    assignment: Assignment | None = None


class MemberReply(Message):
    """
    Reply to the request of a member.

    Attributes
    ----------
    incarnation : str
        Id of the replying process.
    epoch : int
        Epoch of the assignment that the replying process knows.
    granted : bool
        Whether the requested promise is granted.
    assignment : Assignment or None
        Assignment of the replying process, for a requester that knows an
        older epoch.
    """

    incarnation: str
    epoch: int
    granted: bool = False
    assignment: Assignment | None = None


class RecordTransfer(Message):
    """
    Transfer the records of ranges to their next owner.

    Attributes
    ----------
    instance : str
        Current owner.
    incarnation : str
        Id of the process that becomes the owner.
    records : tuple of KeyRecord
        All records of the ranges.
    """

    instance: str
    incarnation: str
    records: tuple[KeyRecord, ...] = ()
