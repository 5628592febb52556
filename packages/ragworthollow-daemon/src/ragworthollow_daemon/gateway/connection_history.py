"""Remember the responses of one connection to a stage instance."""

from collections.abc import Sequence

from ragworthollow.conf import global_settings


class ConnectionHistory:
    """
    Remember what tells a copy of a response from a new one.

    Attributes
    ----------
    has_identified : bool
        Whether a response to a call has named its call.
    """

    def __init__(self) -> None:
        self.has_identified = False
        self._handles: set[str] = set()

    def add(self, handles: Sequence[str]) -> bool:
        """Add the handles of a response; return whether all are new."""
        known = len(self._handles)
        self._handles.update(handles)
        return len(self._handles) == known + len(handles)

    def is_full(self) -> bool:
        """Return whether the connection should carry no more calls."""
        return len(self._handles) >= global_settings.CONNECTION_HANDLES_LIMIT
