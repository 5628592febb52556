"""Limit the number of requests in any window of time."""

from collections import deque
from collections.abc import Sequence

from ragworthollow.throttling.quota import SenderQuota

_SECOND_MS = 1000


class Pacer:
    """
    Track the latest requests to each instance.

    Sliding windows, unlike a token bucket, bound the requests in every window
    of their length: two bursts never meet at the edge of a window.
    """

    def __init__(self) -> None:
        self._sent_ms: dict[str, deque[float]] = {}
        self._expires_ms: dict[str, float] = {}

    def get_wait_ms(
        self,
        incarnation: str,
        quota: SenderQuota,
        now_ms: float,
    ) -> float:
        """
        Return how long the next request to an instance has to wait.

        Returns
        -------
        float
            Milliseconds; 0 if it may be sent now.
        """
        sent_ms = self._sent_ms.get(incarnation, ())
        free_ms = max(
            _find_free_ms(sent_ms, quota.requests, quota.window_ms),
            _find_free_ms(sent_ms, quota.requests_at_once, _SECOND_MS),
        )
        return max(0, free_ms - now_ms)

    def record(
        self,
        incarnation: str,
        quotas: Sequence[SenderQuota],
        now_ms: float,
    ) -> None:
        """
        Record a request that is sent now.

        Parameters
        ----------
        incarnation : str
            Incarnation of the instance.
        quotas : sequence of SenderQuota
            Quotas towards which it counts.
        now_ms : float
            Time on the monotonic clock.
        """
        self._forget_before(now_ms)
        sent_ms = self._sent_ms.setdefault(incarnation, deque())
        sent_ms.append(now_ms)
        max_kept = max(quota.requests for quota in quotas)
        while len(sent_ms) > max_kept:
            sent_ms.popleft()
        max_window_ms = max(quota.window_ms for quota in quotas)
        self._expires_ms[incarnation] = now_ms + max_window_ms

    def _forget_before(self, now_ms: float) -> None:
        """Discard instances whose last request is in no window any more."""
        expired = [
            incarnation
            for incarnation, expires_ms in self._expires_ms.items()
            if expires_ms <= now_ms
        ]
        for incarnation in expired:
            self._expires_ms.pop(incarnation)
            self._sent_ms.pop(incarnation)


def _find_free_ms(
    sent_ms: Sequence[float],
    requests: int,
    window_ms: float,
) -> float:
    """Return the time from which a window has room for one more request."""
    if len(sent_ms) < requests:
        return float('-inf')
    return sent_ms[-requests] + window_ms
