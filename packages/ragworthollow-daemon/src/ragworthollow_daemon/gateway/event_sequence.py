"""Check that the events of a stream follow each other."""

import re

# A blank line, under each line ending that event streams may have.
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r){2,}')
_ID_FIELD = b'id:'
# Upstreams number the events of a stream from here on, without gaps.
_FIRST_NUMBER = 1
_MAX_DIGITS = 18


class EventSequence:
    """
    Pass on the events of one response only while each follows the one before.

    Only numbered events can be compared; others are passed on.  An event that
    does not follow belongs to another run, or others are missing before it, so
    that nothing after it may be passed on either.  A part is what one upstream
    has sent; a resumed stream has several.

    Parameters
    ----------
    resumed_after : str
        Id of the last event that the caller has; empty if it has none.

    Attributes
    ----------
    last_event_id : str
        Id of the last event that was passed on, or that the caller has; empty
        if there is none.
    rejected_id : str or None
        Id of the event of this part that does not follow; None if all do.
    part_resumed_after : str
        `last_event_id` when the part began.
    part_first_id : str
        Id of the first event of the part; empty if it had none.
    """

    def __init__(self, *, resumed_after: str = '') -> None:
        self.last_event_id = resumed_after
        self.rejected_id: str | None = None
        self.part_resumed_after = resumed_after
        self.part_first_id = ''

    def begin_part(self) -> None:
        """Begin the part of another upstream."""
        self.rejected_id = None
        self.part_resumed_after = self.last_event_id
        self.part_first_id = ''

    def take(self, events: bytes) -> bytes:
        """
        Record complete events up to the first that does not follow.

        Parameters
        ----------
        events : bytes
            Whole events, as received.

        Returns
        -------
        bytes
            The events that may be passed on, unchanged.
        """
        start = 0
        for match in _EVENT_END.finditer(events):
            event_id = _find_id(events[start : match.start()])
            if event_id and not self._accept(event_id):
                self.rejected_id = event_id
                return events[:start]
            start = match.end()
        return events

    def _accept(self, event_id: str) -> bool:
        if not _follows(self.last_event_id, event_id):
            return False
        self.part_first_id = self.part_first_id or event_id
        self.last_event_id = event_id
        return True


def _find_id(event: bytes) -> str:
    """Return the id of an event; empty if it has none."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('latin-1')
    return ''


def _follows(last_id: str, event_id: str) -> bool:
    """Return whether an event is the next, or cannot be compared."""
    if not _is_number(event_id):
        return True
    if not last_id:
        return int(event_id) <= _FIRST_NUMBER
    return not _is_number(last_id) or int(event_id) == int(last_id) + 1


def _is_number(event_id: str) -> bool:
    is_decimal = event_id.isascii() and event_id.isdecimal()
    return is_decimal and len(event_id) <= _MAX_DIGITS
