"""Remember the responses of one connection to a stage instance."""

from collections.abc import Sequence


class ConnectionHistory:
    """
    Remember what tells a copy of a response from a new one.

    A connection carries a limited number of requests, which limits the size.

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
