"""Check that the events of a stream follow each other."""

import re

from ragworthollow.upstreams.event_numbering import EventNumbering

# A blank line, under each line ending that event streams may have.
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r){2,}')
_ID_FIELD = b'id:'
_FIRST_NUMBER = 1
# Longer ids are not compared.
_MAX_DIGITS = 100


class EventSequence:
    """
    Pass on the events of one response only while each follows the one before.

    The ids of events increase.  One that does not was sent before, or belongs
    to another run, so that nothing after it may be passed on either.  Numbers
    may be left out: an upstream may count tokens, of which an event holds
    several.  Only where an upstream continues after another, and its software
    is known to number without gaps, is a left out number a missing event.

    Only numbered events can be compared; others are passed on.  A part is what
    one upstream has sent; a resumed stream has several.

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
    numbering : EventNumbering or None
        What the events inside of parts have shown; None if they were too few.
    """

    def __init__(self, *, resumed_after: str = '') -> None:
        self.last_event_id = resumed_after
        self.rejected_id: str | None = None
        self.part_resumed_after = resumed_after
        self.part_first_id = ''
        self.numbering: EventNumbering | None = None
        self._known_numbering: EventNumbering | None = None

    def begin_part(self, known_numbering: EventNumbering | None) -> None:
        """
        Begin the part of another upstream.

        Parameters
        ----------
        known_numbering : EventNumbering or None
            What other streams of its software have shown; None if nothing is
            known.
        """
        self.rejected_id = None
        self.part_resumed_after = self.last_event_id
        self.part_first_id = ''
        self._known_numbering = known_numbering

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
        number = _parse_number(event_id)
        last = _parse_number(self.last_event_id)
        is_comparable = number is not None and last is not None
        if is_comparable and not self._may_follow(number, last):
            return False
        if number is not None:
            self._record_numbering(number, last)
        self.part_first_id = self.part_first_id or event_id
        self.last_event_id = event_id
        return True

    def _may_follow(self, number: int, last: int) -> bool:
        if number <= last:
            return False
        if self.part_first_id or number == last + 1:
            return True
        shown = {self.numbering, self._known_numbering}
        return (
            EventNumbering.with_gaps in shown
            or EventNumbering.consecutive not in shown
        )

    def _record_numbering(self, number: int, last: int | None) -> None:
        if not self.part_first_id:
            # Where a stream goes on, a gap may be a missing event.
            has_gap = not self.last_event_id and number > _FIRST_NUMBER
        elif last is None:
            return
        elif number == last + 1:
            has_gap = False
            self.numbering = self.numbering or EventNumbering.consecutive
        else:
            has_gap = True
        if has_gap:
            self.numbering = EventNumbering.with_gaps


def _find_id(event: bytes) -> str:
    """Return the id of an event; empty if it has none."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('latin-1')
    return ''


def _parse_number(event_id: str) -> int | None:
    """Return the number of an event; None if it cannot be compared."""
    is_number = event_id.isascii() and event_id.isdecimal()
    return int(event_id) if is_number and len(event_id) <= _MAX_DIGITS else None
