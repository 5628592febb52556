"""Define a record of the change history."""

from ragworthollow.utils.message import Message


class ChangeRecord(Message):
    """
    Describe one accepted change.

    Attributes
    ----------
    change_id : str
        Chosen by the operator's tool, so that the outcome can be looked up
        when the response is lost.
    generation : int
        Generation that the change created.
    operator : str
        Operator who made the change.
    time_ms : int
        Time of the change, in milliseconds since the Unix epoch.
    files : tuple of str
        Names of the files that the change wrote or removed.
    """

    change_id: str
    generation: int
    operator: str
    time_ms: int
    files: tuple[str, ...]
