"""Split an event stream into complete events."""

import re

from ragworthollow.conf import global_settings

# A blank line, under each line ending that the standard of event streams
# allows.  An atomic group keeps CRLF from counting as two line endings.
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r){2,}')
_LINE_ENDINGS = b'\r\n'
_CRLF_LENGTH = 2
_COMMENT_START = b':'
_ID_FIELD = b'id:'


class EventBuffer:
    """
    Buffer received bytes and return complete events only.

    An upstream may disconnect in the middle of an event.  A caller that has
    received part of an event could not resume at another upstream, since
    event ids identify complete events.

    Each byte is searched once, however the stream is cut.

    Attributes
    ----------
    last_event_id : str
        Id of the last complete event; empty if it had none.
    event_count : int
        Complete events so far.
    is_event_too_long : bool
        Whether an event exceeds `MAX_EVENT_BYTES`; the buffer then discards
        this event and everything after it.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()
        # Whether the last complete event may be followed by more line endings.
        self._is_in_event_end = False
        self.last_event_id = ''
        self.event_count = 0
        self.is_event_too_long = False

    def feed(self, chunk: bytes) -> bytes:
        """
        Add received bytes.

        Returns
        -------
        bytes
            The events that are complete now, unchanged; may be empty.
        """
        if self.is_event_too_long:
            return b''
        event_end, data = self._split_event_end(chunk)
        overlap = _find_line_ending(self._incomplete)
        # What precedes the line ending has been searched with earlier chunks.
        kept_length = len(self._incomplete) - len(overlap)
        searched = overlap + data
        event_start = -kept_length
        end = 0
        for match in _EVENT_END.finditer(searched):
            if _is_too_long(match.start() - event_start):
                self.is_event_too_long = True
                break
            event_start = match.end()
            end = event_start
            self.event_count += 1
        if not end:
            self._keep(data)
            return event_end
        del self._incomplete[kept_length:]
        complete = bytes(self._incomplete) + searched[:end]
        self._incomplete.clear()
        self._keep(searched[end:])
        self._is_in_event_end = not self._incomplete
        self._record_last_id(complete)
        return event_end + complete

    def get_incomplete(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._incomplete)

    def has_partial_event(self) -> bool:
        """
        Return whether the bytes after the last event are part of another.

        Blank lines and whole comment lines belong to no event.
        """
        return self.is_event_too_long or any(
            line.strip(_LINE_ENDINGS)
            and not (
                line.startswith(_COMMENT_START)
                and line.endswith((b'\n', b'\r'))
            )
            for line in self._incomplete.splitlines(keepends=True)
        )

    def discard_incomplete(self) -> None:
        """Discard the bytes after the last complete event."""
        self._incomplete.clear()
        self._is_in_event_end = False
        self.is_event_too_long = False

    def _split_event_end(self, chunk: bytes) -> tuple[bytes, bytes]:
        """Split off line endings that belong to the last complete event."""
        if not self._is_in_event_end:
            return b'', chunk
        data = chunk.lstrip(_LINE_ENDINGS)
        self._is_in_event_end = not data
        return chunk[: len(chunk) - len(data)], data

    def _keep(self, data: bytes) -> None:
        """Keep the bytes of an event that is not complete."""
        self._incomplete += data
        line_ending = _find_line_ending(self._incomplete)
        if _is_too_long(len(self._incomplete) - len(line_ending)):
            self.is_event_too_long = True
        if self.is_event_too_long:
            self._incomplete.clear()

    def _record_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD) :].strip()
                self.last_event_id = event_id.decode('latin-1')
                return


def _find_line_ending(data: bytearray) -> bytes:
    """Return the line ending at the end of an incomplete event, if any."""
    end = bytes(data[-_CRLF_LENGTH:])
    return end[len(end.rstrip(_LINE_ENDINGS)) :]


def _is_too_long(event_length: int) -> bool:
    """Tell whether an event without the blank line at its end is too long."""
    return event_length > global_settings.MAX_EVENT_BYTES
