"""Track the state of one instance as an entry knows it."""

from ragworthollow.conf import global_settings
from ragworthollow.platform.instance_list import InstanceEntry
from ragworthollow.transport.load_report import LoadReport

_MAX_BACKOFF_DOUBLINGS = 5
_OTHERS_WEIGHT = 0.5


class PeerState:
    """
    Track the load, latency and failures of one instance.

    Parameters
    ----------
    instance : InstanceEntry
        Instance as listed by the platform.
    """

    def __init__(self, *, instance: InstanceEntry) -> None:
        self.instance = instance
        self.in_flight = 0
        self.latency_ms = 0
        self.samples = 0
        self.success_rate = 1.0
        self.load = LoadReport()
        self.load_at_ms = float('-inf')
        self.avoid_until_ms = float('-inf')
        self._failures = 0

    def record_load(self, load: LoadReport, now_ms: float) -> None:
        """Store the load reported in a response."""
        self.load = load
        self.load_at_ms = now_ms
        if load.leaving:
            self.avoid_until_ms = now_ms + global_settings.LEAVING_MS

    def record_success(self, elapsed_ms: float) -> None:
        """Update the statistics after a complete response."""
        decay = global_settings.LATENCY_DECAY
        if not self.samples:
            self.latency_ms = elapsed_ms
        self.latency_ms += decay * (elapsed_ms - self.latency_ms)
        self.success_rate += decay * (1 - self.success_rate)
        self.samples += 1
        self._failures = 0

    def record_failure(self, now_ms: float) -> None:
        """
        Update the statistics after a failed attempt.

        An instance that fails every call at once looks idle and would attract
        all calls.  Each consecutive failure doubles the time for which it is
        avoided, and its low success rate worsens its score when it is tried
        again.
        """
        self.success_rate -= global_settings.LATENCY_DECAY * self.success_rate
        doublings = min(self._failures, _MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        wait_ms = global_settings.SUSPECT_MS * 2**doublings / 2
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + wait_ms)

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the instance may get calls now."""
        return now_ms >= self.avoid_until_ms

    def get_depth(self, now_ms: float) -> float:
        """
        Estimate the calls ahead of a new one, relative to its concurrency.

        The reported load loses weight with its age; the calls that this entry
        itself has in flight are always known.
        """
        age_ms = now_ms - self.load_at_ms
        weight = max(0, 1 - age_ms / global_settings.LOAD_STALE_MS)
        reported = self.load.running + self.load.waiting
        others = max(0, reported - self.in_flight) * weight * _OTHERS_WEIGHT
        return (self.in_flight + others) / max(self.load.concurrency, 1)
