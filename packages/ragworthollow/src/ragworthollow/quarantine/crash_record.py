"""Hold the crash evidence against one request."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ragworthollow.conf import global_settings

NEVER_MS = float('-inf')


@dataclass(kw_only=True, slots=True)
class CrashRecord:
    """
    Record the crashes in which a request was running.

    A crash ends all requests that run on the instance, so most requests in a
    crash are harmless.  A successful run clears its request of all earlier
    crashes.  Records are merged by set union, so that gateways agree regardless
    of the order in which they receive evidence.

    Attributes
    ----------
    crashes : dict of str to float
        Time at which each incarnation of an instance ended, by incarnation.
    cleared : set of str
        Incarnations whose crashes no longer count against the request.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    def add(self, crashes: Mapping[str, float], cleared: Iterable[str]) -> bool:
        """Add evidence, and return whether any of it is new."""
        previous = (len(self.crashes), len(self.cleared))
        for incarnation, crashed_ms in crashes.items():
            known_ms = self.crashes.get(incarnation, crashed_ms)
            self.crashes[incarnation] = min(known_ms, crashed_ms)
        self.cleared.update(cleared)
        return previous != (len(self.crashes), len(self.cleared))

    def forget_before(self, oldest_ms: float) -> None:
        """Discard crashes that occurred before a time."""
        self.crashes = {
            incarnation: crashed_ms
            for incarnation, crashed_ms in self.crashes.items()
            if crashed_ms >= oldest_ms
        }
        self.cleared &= self.crashes.keys()

    def list_uncleared_ms(self) -> list[float]:
        """Return the times of the crashes that count against the request."""
        return [
            crashed_ms
            for incarnation, crashed_ms in self.crashes.items()
            if incarnation not in self.cleared
        ]

    def get_newest_ms(self) -> float:
        """Return the time of the latest crash."""
        return max(self.crashes.values(), default=NEVER_MS)

    def get_release_ms(self, crash_limit: int, quarantine_ms: float) -> float:
        """
        Return the end of the quarantine; `NEVER_MS` if there is none.

        Parameters
        ----------
        crash_limit : int
            Number of crashes at which the request is quarantined.
        quarantine_ms : float
            Duration of the quarantine after the last of them.  It doubles with
            each further crash, so that a request that is admitted again and
            crashes another instance is quarantined for longer.
        """
        uncleared_ms = self.list_uncleared_ms()
        excess = len(uncleared_ms) - crash_limit
        if excess < 0:
            return NEVER_MS
        doublings = min(excess, global_settings.QUARANTINE_DOUBLINGS_LIMIT)
        return max(uncleared_ms) + quarantine_ms * 2**doublings
