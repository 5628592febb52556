"""Track the results that requests of this gateway use."""

from collections.abc import Iterable

from ragworthollow.pieces import StoredResult


class ResultsInUse:
    """
    Track the results of each pool that have not been released yet.

    The host of a scheduler accounts for the space of all results.  If it is
    killed, its successor knows of none of them and sends pieces to instances
    without free space, so that their requests fail.  Therefore each gateway
    reports the results that its own requests use to a new host; only those
    of the killed gateway remain unknown.
    """

    def __init__(self) -> None:
        self._in_use: dict[str, dict[str, StoredResult]] = {}
        self._notified_hosts: dict[str, str] = {}

    def add(self, pool: str, results: Iterable[StoredResult]) -> None:
        """Add results that a request of this gateway has received."""
        in_use = self._in_use.setdefault(pool, {})
        in_use.update((result.handle, result) for result in results)

    def remove(self, pool: str, handles: Iterable[str]) -> None:
        """Remove results that are released."""
        in_use = self._in_use.get(pool, {})
        for handle in handles:
            in_use.pop(handle, None)

    def get_pools(self) -> tuple[str, ...]:
        """Return the pools that have had results in use."""
        return tuple(self._in_use)

    def collect_for_host(
        self,
        pool: str,
        host: str,
        now_ms: float,
    ) -> tuple[StoredResult, ...]:
        """
        Return the results to report to a host that is new for a pool.

        Parameters
        ----------
        pool : str
            Pool of the scheduler.
        host : str
            Incarnation that hosts the scheduler now.
        now_ms : float
            Time on the monotonic clock, in milliseconds; expired results are
            dropped.

        Returns
        -------
        tuple of StoredResult
            Empty if the host is the one of the previous call.
        """
        previous = self._notified_hosts.get(pool, host)
        self._notified_hosts[pool] = host
        if previous == host:
            return ()
        in_use = self._in_use.get(pool, {})
        for handle, result in tuple(in_use.items()):
            if result.expires_ms <= now_ms:
                in_use.pop(handle)
        return tuple(in_use.values())
