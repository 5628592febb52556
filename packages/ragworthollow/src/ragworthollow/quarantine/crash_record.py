"""Hold the evidence against one request."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ragworthollow.conf import global_settings

NEVER_MS = float('-inf')


@dataclass(kw_only=True, slots=True)
class Suspect:
    """
    Hold the crashes in which a request was running.

    A crash ends everything that runs on the instance, so that most requests
    in it are harmless.  A run that ends well clears its request of all earlier
    crashes.  Merging is a union of sets, so that gateways agree in whichever
    order they hear.

    Attributes
    ----------
    crashes : dict of str to float
        When each incarnation of an instance ended, by its name.
    cleared : set of str
        Those crashes that say nothing against the request any more.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    def add(self, crashes: Mapping[str, float], cleared: Iterable[str]) -> bool:
        """Add evidence, and tell whether any of it is new."""
        earlier = (len(self.crashes), len(self.cleared))
        for incarnation, at_ms in crashes.items():
            known_ms = self.crashes.get(incarnation, at_ms)
            self.crashes[incarnation] = min(known_ms, at_ms)
        self.cleared.update(cleared)
        return earlier != (len(self.crashes), len(self.cleared))

    def forget_before(self, oldest_ms: float) -> None:
        """Forget crashes that occurred before some time."""
        self.crashes = {
            incarnation: at_ms
            for incarnation, at_ms in self.crashes.items()
            if at_ms >= oldest_ms
        }
        self.cleared &= self.crashes.keys()

    def list_counted(self) -> list[float]:
        """Return when the crashes occurred that speak against the request."""
        return [
            at_ms
            for incarnation, at_ms in self.crashes.items()
            if incarnation not in self.cleared
        ]

    def get_newest_ms(self) -> float:
        """Return when the newest crash occurred."""
        return max(self.crashes.values(), default=NEVER_MS)

    def get_release_ms(self, crash_limit: int, term_ms: float) -> float:
        """
        Return until when the request is quarantined; long past if it is not.

        Parameters
        ----------
        crash_limit : int
            Crashes from which it is quarantined.
        term_ms : float
            For how long after the last of them.  The term doubles with each
            further crash, so that a request which is let in again and crashes
            another instance is quarantined for longer.
        """
        counted = self.list_counted()
        over = len(counted) - crash_limit
        if over < 0:
            return NEVER_MS
        doublings = min(over, global_settings.QUARANTINE_DOUBLINGS_LIMIT)
        return max(counted) + term_ms * 2**doublings
