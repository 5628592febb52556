"""Define the error of an upstream whose events do not follow each other."""

from aiohttp import ClientError


class EventOrderError(ClientError):
    """
    Signal that an event was not passed on, nor what came after it.

    Parameters
    ----------
    rejected_id : str
        Id of the event.
    last_id : str
        Id of the event passed on before it; empty if there is none.
    """

    def __init__(self, *, rejected_id: str, last_id: str) -> None:
        super().__init__(f'event {rejected_id!r} after {last_id!r}')
