"""Hold the evidence against one request."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ragworthollow.conf import global_settings

NEVER_MS = float('-inf')


@dataclass(kw_only=True, slots=True)
class Suspect:
    """
    Hold the crashes in which a request was running.

    A crash ends everything that runs there, so that one crash says little.
    A run that ends well says that the request is harmless, and absolves it of
    every crash before.  Both sets only grow, so that gateways which tell each
    other agree, in whichever order they hear.

    Attributes
    ----------
    crashes : dict of str to float
        When each incarnation of an instance ended, by its name.
    absolved : set of str
        Those crashes that say nothing against the request any more.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    absolved: set[str] = field(default_factory=set)

    def add(
        self, crashes: Mapping[str, float], absolved: Iterable[str]
    ) -> bool:
        """Add evidence, and tell whether any of it is new."""
        earlier = (len(self.crashes), len(self.absolved))
        for incarnation, at_ms in crashes.items():
            known_ms = self.crashes.get(incarnation, at_ms)
            self.crashes[incarnation] = min(known_ms, at_ms)
        self.absolved.update(absolved)
        return earlier != (len(self.crashes), len(self.absolved))

    def list_counted(self) -> list[float]:
        """Return when the crashes occurred that speak against the request."""
        return [
            at_ms
            for incarnation, at_ms in self.crashes.items()
            if incarnation not in self.absolved
        ]

    def get_newest_ms(self) -> float:
        """Return when the newest crash occurred."""
        return max(self.crashes.values(), default=NEVER_MS)

    def get_release_ms(self, crash_limit: int, term_ms: float) -> float:
        """
        Return until when the request is kept away; long past if it is not.

        Parameters
        ----------
        crash_limit : int
            Crashes from which it is kept away.
        term_ms : float
            For how long after the last of them.  The term doubles with each
            further crash, so that a request which is let in again and crashes
            another instance is kept away for longer.
        """
        counted = self.list_counted()
        over = len(counted) - crash_limit
        if over < 0:
            return NEVER_MS
        doublings = min(over, global_settings.QUARANTINE_DOUBLINGS_LIMIT)
        return max(counted) + term_ms * 2**doublings
