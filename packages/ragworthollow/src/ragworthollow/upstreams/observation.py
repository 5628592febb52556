"""Track since when, and how recently, the list has been observed."""

import math

from ragworthollow.utils import get_monotonic_ms


class Observation:
    """
    Track how old the list is, and for how long nothing has been missed.

    Parameters
    ----------
    propagation_ms : float
        Time in which all gateways learn of a change of the store; after a
        longer time without a list something may have been missed.

    Attributes
    ----------
    since_ms : float
        Time from which on lists have followed each other without a break;
        infinite before the first list.
    """

    def __init__(self, *, propagation_ms: float) -> None:
        self._propagation_ms = propagation_ms
        self.since_ms = math.inf
        self._updated_ms = -math.inf

    def record(self, updated_ms: float) -> None:
        """
        Record a list.

        Parameters
        ----------
        updated_ms : float
            Time as of which it is known to be current.
        """
        gap_ms = updated_ms - self._updated_ms
        if math.isinf(self.since_ms) or gap_ms > self._propagation_ms:
            self.since_ms = updated_ms
        self._updated_ms = updated_ms

    def get_age_ms(self) -> float:
        """Return the age of the last list."""
        return get_monotonic_ms() - self._updated_ms
