"""Hold what an entry knows of one sidecar."""

from ragworthollow.conf import global_settings
from ragworthollow.platform.instance_list import InstanceEntry
from ragworthollow.transport.load_report import LoadReport

_LONGEST_SUSPICION = 5
_OTHERS_WEIGHT = 0.5


class PeerState:
    """
    Track load, speed and failures of one instance.

    Parameters
    ----------
    instance : InstanceEntry
        As the platform lists it.
    """

    def __init__(self, *, instance: InstanceEntry) -> None:
        self.instance = instance
        self.in_flight = 0
        self.latency_ms = 0
        self.samples = 0
        self.success = 1.0
        self.load = LoadReport()
        self.load_at_ms = float('-inf')
        self.avoid_until_ms = float('-inf')
        self._failures = 0

    def record_load(self, load: LoadReport, now_ms: float) -> None:
        """Keep the load that an answer carried."""
        self.load = load
        self.load_at_ms = now_ms
        if load.leaving:
            self.avoid_until_ms = now_ms + global_settings.LEAVING_MS

    def record_success(self, elapsed_ms: float) -> None:
        """Learn from an answer with a whole result."""
        decay = global_settings.LATENCY_DECAY
        if not self.samples:
            self.latency_ms = elapsed_ms
        self.latency_ms += decay * (elapsed_ms - self.latency_ms)
        self.success += decay * (1 - self.success)
        self.samples += 1
        self._failures = 0

    def record_failure(self, now_ms: float) -> None:
        """
        Learn from an attempt that failed.

        An instance that fails every call at once looks idle and would draw
        all work.  Each failure in a row doubles the time it is avoided, and
        its success rate weighs on its score when it is tried again.
        """
        self.success -= global_settings.LATENCY_DECAY * self.success
        doublings = min(self._failures, _LONGEST_SUSPICION)
        self._failures += 1
        wait_ms = global_settings.SUSPECT_MS * 2**doublings / 2
        self.avoid_until_ms = max(self.avoid_until_ms, now_ms + wait_ms)

    def is_usable(self, now_ms: float) -> bool:
        """Tell whether it may get work now."""
        return now_ms >= self.avoid_until_ms

    def get_depth(self, now_ms: float) -> float:
        """
        Estimate calls before a new one, in units of its concurrency.

        The reported load loses weight with its age; what this entry itself
        has in flight is always known.
        """
        age_ms = now_ms - self.load_at_ms
        trust = max(0, 1 - age_ms / global_settings.LOAD_STALE_MS)
        reported = self.load.running + self.load.waiting
        others = max(0, reported - self.in_flight) * trust * _OTHERS_WEIGHT
        return (self.in_flight + others) / max(self.load.concurrency, 1)
