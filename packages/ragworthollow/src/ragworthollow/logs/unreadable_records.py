"""Log records that cannot be read in a limited number of lines."""

from ragworthollow.logs.events import log_error

# Lines for each list; operators find the others by their prefix.
_MAX_LINES = 20
_MAX_CHARACTERS = 200


class UnreadableRecords:
    """
    Log the first unreadable records of each list, and count the others.

    Parameters
    ----------
    event : str
        Event to log for each of the first records.
    step : str
        Step that reads the records.
    """

    def __init__(self, *, event: str, step: str) -> None:
        self._event = event
        self._step = step
        self._count = 0

    def record(self, key: str, error: str) -> None:
        """Log a record unless the list has had many."""
        self._count += 1
        if self._count <= _MAX_LINES:
            log_error(
                self._event,
                step=self._step,
                peer=key[:_MAX_CHARACTERS],
                error=error[:_MAX_CHARACTERS],
            )

    def end_list(self) -> None:
        """Log how many records had no line of their own."""
        omitted = self._count - _MAX_LINES
        self._count = 0
        if omitted > 0:
            log_error(
                'unreadable_records_omitted',
                step=self._step,
                count=omitted,
            )
