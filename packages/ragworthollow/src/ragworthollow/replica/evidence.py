"""Track as of when a replica of the store is known to be up to date."""

import math


class Evidence:
    """
    Hold the latest time at which the replica was known to be up to date.

    A successful read proves that the state it returned was current when the
    read began.  The proof applies to every copy of that state, so a gateway
    may accept it from a peer.  Clocks of different machines are not compared:
    a proof is sent with its age, which the receiver subtracts from the time
    of its request, so that the response time never makes it look fresher.

    Times are on a clock that keeps running while the machine is suspended.
    With one that stops, a gateway would report a proof to its peers as
    seconds fresher than it is.
    """

    def __init__(self) -> None:
        self._proved_ms = float('-inf')

    def note(self, proved_ms: float) -> bool:
        """
        Record a proof, and return whether it is the most recent so far.

        Parameters
        ----------
        proved_ms : float
            Time at which the replica is known to have been up to date.
        """
        is_fresher = proved_ms > self._proved_ms
        self._proved_ms = max(self._proved_ms, proved_ms)
        return is_fresher

    def is_known(self) -> bool:
        """Return whether any proof has been recorded."""
        return math.isfinite(self._proved_ms)

    def get_age_ms(self, now_ms: float) -> float:
        """Return the time since the replica was known to be up to date."""
        return now_ms - self._proved_ms
