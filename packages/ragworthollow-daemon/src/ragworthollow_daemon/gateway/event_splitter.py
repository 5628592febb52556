"""Cut an event stream into whole events."""

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'


class EventSplitter:
    """
    Collect bytes and give out whole events only.

    An upstream may break off in the middle of an event.  A caller that has
    the beginning of one could not go on at another upstream, since ids name
    whole events.
    """

    def __init__(self) -> None:
        self._rest = b''
        self.last_event_id = ''

    def feed(self, chunk: bytes) -> bytes:
        """
        Add bytes.

        Returns
        -------
        bytes
            The whole events that are complete now, unchanged.
        """
        data = self._rest + chunk
        end = data.rfind(_SEPARATOR)
        if end < 0:
            self._rest = data
            return b''
        end += len(_SEPARATOR)
        self._rest = data[end:]
        whole = data[:end]
        self._note_id(whole)
        return whole

    def take_rest(self) -> bytes:
        """Return what has come of an event that is not whole."""
        rest = self._rest
        self._rest = b''
        return rest

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b'\n')):
            if line.startswith(_ID_FIELD):
                found = line[len(_ID_FIELD) :].strip()
                self.last_event_id = found.decode('latin-1')
                return
