"""Log refused clients in a limited number of lines."""

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.metrics import Metrics
from ragworthollow.utils import get_monotonic_ms

_MS_PER_SECOND = 1000


class RejectionLog:
    """
    Log the first rejections of each second, and count all.

    A line holds nothing that the client has sent.

    Parameters
    ----------
    metrics : Metrics
        Counts the rejections.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._second = 0
        self._line_count = 0
        self._omitted = 0

    def record(self, event: str, *, peer: str, **fields: object) -> None:
        """
        Count an event, and log it unless there were many in this second.

        Parameters
        ----------
        event : str
            Name of the event.
        peer : str
            Address of the client.
        **fields
            Further fields of the line.
        """
        self._metrics.count_event(event)
        second = int(get_monotonic_ms() / _MS_PER_SECOND)
        if second != self._second:
            self._second = second
            self._line_count = 0
        if self._line_count >= global_settings.REJECTION_LINES_PER_S:
            self._omitted += 1
            return
        self._line_count += 1
        log_event(
            event, step='receive', peer=peer, omitted=self._omitted, **fields
        )
        self._omitted = 0
