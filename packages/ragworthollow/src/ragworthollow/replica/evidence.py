"""Keep since when a copy of the store is known to be the newest."""

import math


class Evidence:
    """
    Hold the youngest proof that nothing newer was in the store.

    A read that the store answers proves that its state was the newest when
    the read began.  Whoever holds that state holds the proof too, so that a
    gateway may take it from another one.  Clocks of two machines are not
    compared: a proof is told with its age, and counts from before it was
    asked for, however long the answer took.

    Times are on the clock that goes on while a machine is suspended.  One
    that stands still would tell others of a proof that is seconds older.
    """

    def __init__(self) -> None:
        self._proved_ms = float('-inf')

    def note(self, proved_ms: float) -> bool:
        """
        Take a proof, and tell whether it is younger than all before.

        Parameters
        ----------
        proved_ms : float
            Moment at which the copy is known to have been the newest.
        """
        is_younger = proved_ms > self._proved_ms
        self._proved_ms = max(self._proved_ms, proved_ms)
        return is_younger

    def is_known(self) -> bool:
        """Tell whether there is any proof."""
        return math.isfinite(self._proved_ms)

    def get_age_ms(self, now_ms: float) -> float:
        """Return how long ago the copy was the newest for certain."""
        return now_ms - self._proved_ms
