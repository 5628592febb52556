"""Track the gateways that sent pieces to this process."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(kw_only=True, slots=True)
class _Requester:
    instance: str
    received_ms: float


class RequesterTracker:
    """
    Detect the termination of gateways that requested pieces.

    Results in use by requests of a killed gateway occupy space at their
    producers until they expire.  A pool with large results runs at half its
    speed for these seconds, in which the callers of the killed gateway also
    retry at the others.

    A requester is silent only while this process listens.  After a pause of
    this process, the pings of that time are still to be read.
    """

    def __init__(self) -> None:
        self._requesters: dict[str, _Requester] = {}
        self._checked_ms = float('inf')

    def record_ping(
        self, instance: str, incarnation: str, now_ms: float
    ) -> None:
        """Record a ping and terminate earlier incarnations of the instance."""
        self._requesters[incarnation] = _Requester(
            instance=instance, received_ms=now_ms
        )
        for known, requester in self._requesters.items():
            if requester.instance == instance and known != incarnation:
                requester.received_ms = float('-inf')

    def record_request(self, incarnation: str, now_ms: float) -> None:
        """Record that a gateway requested pieces, unless it is known."""
        self._requesters.setdefault(
            incarnation,
            _Requester(instance='', received_ms=now_ms),
        )

    def pop_terminated(self, now_ms: float) -> list[str]:
        """
        Return terminated incarnations and remove them.

        Parameters
        ----------
        now_ms : float
            Current time; much later than at the call before only if this
            process was paused meanwhile.
        """
        self._discount_pause(now_ms)
        oldest_ms = now_ms - global_settings.REQUESTER_TIMEOUT_MS
        terminated = [
            incarnation
            for incarnation, requester in self._requesters.items()
            if requester.received_ms < oldest_ms
        ]
        for incarnation in terminated:
            self._requesters.pop(incarnation)
        return terminated

    def _discount_pause(self, now_ms: float) -> None:
        """Count at most one interval of pings since the check before."""
        paused_ms = now_ms - self._checked_ms - global_settings.HOST_PING_MS
        self._checked_ms = now_ms
        if paused_ms <= 0:
            return
        for requester in self._requesters.values():
            requester.received_ms = min(
                requester.received_ms + paused_ms, now_ms
            )
