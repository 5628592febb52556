"""Track the ids of the events that a stream has passed on."""

_ID_FIELD = b'id:'


class EventSequence:
    """
    Track the ids of the events of one response, and of its latest part.

    A part is what one upstream has sent; a resumed stream has several.

    Parameters
    ----------
    resumed_after : str
        Id of the last event that the caller has; empty if it has none.

    Attributes
    ----------
    last_event_id : str
        Id of the last event that was passed on, or that the caller has; empty
        if there is none.
    part_resumed_after : str
        The same when the part began.
    part_first_id : str
        Id of the first event of the part; empty if it had none.
    """

    def __init__(self, *, resumed_after: str = '') -> None:
        self.last_event_id = resumed_after
        self.part_resumed_after = resumed_after
        self.part_first_id = ''

    def begin_part(self) -> None:
        """Begin the part of another upstream."""
        self.part_resumed_after = self.last_event_id
        self.part_first_id = ''

    def record(self, events: bytes) -> None:
        """Record the ids of complete events, in order."""
        for line in events.splitlines():
            if line.startswith(_ID_FIELD):
                self._record_id(
                    line[len(_ID_FIELD) :].strip().decode('latin-1')
                )

    def _record_id(self, event_id: str) -> None:
        self.part_first_id = self.part_first_id or event_id
        self.last_event_id = event_id
