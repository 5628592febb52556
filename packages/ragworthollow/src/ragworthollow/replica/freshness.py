"""Track as of when a replica of the store is known to be up to date."""

import math


class Freshness:
    """
    Hold the latest time at which the replica was known to be up to date.

    A successful read confirms that the state it returned was current when the
    read began.  The confirmation applies to every copy of that state, so a
    gateway may accept it from a peer.  Clocks of different machines are not
    compared: a confirmation is sent with its age, which the receiver subtracts
    from the time at which it sent its request, so that the response time never
    makes the confirmation look fresher.

    Times are on CLOCK_BOOTTIME, which includes time in suspend.  With a clock
    that stops during suspend, a gateway would report a confirmation to its
    peers as seconds fresher than it is.
    """

    def __init__(self) -> None:
        self._confirmed_ms = float('-inf')

    def record(self, confirmed_ms: float) -> bool:
        """
        Record a confirmation; return whether it is the latest so far.

        Parameters
        ----------
        confirmed_ms : float
            Time at which the replica is known to have been up to date.
        """
        is_fresher = confirmed_ms > self._confirmed_ms
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        return is_fresher

    def is_known(self) -> bool:
        """Return whether any confirmation has been recorded."""
        return math.isfinite(self._confirmed_ms)

    def get_age_ms(self, now_ms: float) -> float:
        """Return the time since the replica was known to be up to date."""
        return now_ms - self._confirmed_ms
