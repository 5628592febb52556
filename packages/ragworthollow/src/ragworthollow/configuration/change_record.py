"""Define a line of the history of changes."""

from ragworthollow.utils.message import Message


class ChangeRecord(Message):
    """
    Record one accepted change.

    Attributes
    ----------
    change_id : str
        Chosen by the operator's tool, so that a lost answer can be settled.
    generation : int
        Generation that the change made.
    operator : str
        Who made it.
    time_ms : int
        When, in milliseconds since the Unix epoch.
    files : tuple of str
        Names of the files it wrote or removed.
    """

    change_id: str
    generation: int
    operator: str
    time_ms: int
    files: tuple[str, ...]
