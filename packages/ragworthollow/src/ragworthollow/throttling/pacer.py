"""Keep to a number of requests in any window of time."""

from collections import deque

from ragworthollow.throttling.share import SenderShare


class Pacer:
    """
    Remember the last requests to each instance.

    Counting in sliding windows, rather than filling a bucket, bounds every
    window of that length: two bursts never meet at the edge of one.
    """

    def __init__(self) -> None:
        self._sent_ms: dict[str, deque[float]] = {}

    def get_wait_ms(
        self,
        incarnation: str,
        share: SenderShare,
        now_ms: float,
    ) -> float:
        """Return how long the next request to an instance has to wait."""
        sent_ms = self._sent_ms.get(incarnation, ())
        if len(sent_ms) < share.requests:
            return 0
        return max(0, sent_ms[-share.requests] + share.window_ms - now_ms)

    def note(self, incarnation: str, share: SenderShare, now_ms: float) -> None:
        """Note a request that is sent now."""
        self._forget_before(now_ms - share.window_ms)
        sent_ms = self._sent_ms.setdefault(incarnation, deque())
        sent_ms.append(now_ms)
        while len(sent_ms) > share.requests:
            sent_ms.popleft()

    def _forget_before(self, earliest_ms: float) -> None:
        """Forget instances to which nothing was sent since some time."""
        self._sent_ms = {
            incarnation: sent_ms
            for incarnation, sent_ms in self._sent_ms.items()
            if sent_ms[-1] > earliest_ms
        }
