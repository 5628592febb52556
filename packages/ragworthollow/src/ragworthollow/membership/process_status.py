"""Define the status of one process of the fleet."""

from ragworthollow.utils.message import Message


class ProcessStatus(Message):
    """
    Report the active configuration of one process.

    Attributes
    ----------
    instance, address : str
        Name and address of the process.
    generation : int or None
        Generation of its active configuration; None if it did not respond.
    """

    instance: str
    address: str = ''
    generation: int | None = None
