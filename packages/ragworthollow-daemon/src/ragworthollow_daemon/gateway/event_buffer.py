"""Split an event stream into complete events."""

import re

# A blank line, under each line ending that the standard of event streams
# allows.  An atomic group keeps CRLF from counting as two line endings.
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r){2,}')
_LINE_ENDINGS = b'\r\n'
_COMMENT_START = b':'
_ID_FIELD = b'id:'


class EventBuffer:
    """
    Buffer received bytes and return complete events only.

    An upstream may disconnect in the middle of an event.  A caller that has
    received part of an event could not resume at another upstream, since
    event ids identify complete events.

    Attributes
    ----------
    last_event_id : str
        Id of the last complete event; empty if it had none.
    event_count : int
        Complete events so far.
    """

    def __init__(self) -> None:
        self._incomplete = b''
        self.last_event_id = ''
        self.event_count = 0

    def feed(self, chunk: bytes) -> bytes:
        """
        Add received bytes.

        Returns
        -------
        bytes
            The events that are complete now, unchanged; may be empty.
        """
        data = self._incomplete + chunk
        event_ends = [match.end() for match in _EVENT_END.finditer(data)]
        if not event_ends:
            self._incomplete = data
            return b''
        end = event_ends[-1]
        self._incomplete = data[end:]
        complete = data[:end]
        self.event_count += len(event_ends)
        self._record_last_id(complete)
        return complete

    def get_incomplete(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._incomplete

    def has_partial_event(self) -> bool:
        """
        Return whether the bytes after the last event are part of another.

        Blank lines and whole comment lines belong to no event.
        """
        return any(
            line.strip(_LINE_ENDINGS)
            and not (
                line.startswith(_COMMENT_START)
                and line.endswith((b'\n', b'\r'))
            )
            for line in self._incomplete.splitlines(keepends=True)
        )

    def discard_incomplete(self) -> None:
        """Discard the bytes after the last complete event."""
        self._incomplete = b''

    def _record_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD) :].strip()
                self.last_event_id = event_id.decode('latin-1')
                return
