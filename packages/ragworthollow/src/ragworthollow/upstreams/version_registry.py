"""Decide how the stored versions of a pool follow the list."""

from collections.abc import Collection, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.pool_versions import PoolVersions

_NO_VERSIONS = PoolVersions()


class VersionRegistry:
    """
    Compare the recorded versions of each pool with those in the list.

    The record lets a gateway that has just started, or has missed changes of
    the list, know which versions streams may have begun at.  Each step waits
    until it has been observed without a break for long enough; a break starts
    the wait again.

    All times are on one clock that counts time in suspend, in milliseconds.

    Parameters
    ----------
    propagation_ms : float
        Time in which all gateways learn of a change of the store, and the
        longest time between two lists that counts as no break.
    """

    def __init__(self, *, propagation_ms: float) -> None:
        self._propagation_ms = propagation_ms
        self._listed: Mapping[str, Collection[str]] = {}
        self._recorded: Mapping[str, PoolVersions] = {}
        # Versions that were recorded when the store was restored.
        self._retained: dict[str, PoolVersions] = {}
        self._observed_ms = float('-inf')
        # Since when versions are announced, or are recorded but not listed.
        self._announced_ms: dict[tuple[str, str], float] = {}
        self._missing_ms: dict[tuple[str, str], float] = {}

    def observe(
        self,
        listed: Mapping[str, Collection[str]],
        recorded: Mapping[str, PoolVersions],
        confirmed_ms: float,
    ) -> None:
        """
        Observe the store.

        Parameters
        ----------
        listed : mapping of str to collection of str
            Versions of the listed instances by pool.
        recorded : mapping of str to PoolVersions
            Recorded versions by pool.
        confirmed_ms : float
            Time as of which both are known to be up to date.
        """
        if confirmed_ms - self._observed_ms > self._propagation_ms:
            self._announced_ms.clear()
            self._missing_ms.clear()
        self._observed_ms = confirmed_ms
        self._listed = listed
        self._recorded = recorded
        self._retained = {
            pool: versions
            for pool, versions in self._retained.items()
            if not versions.list_all()
            <= recorded.get(pool, _NO_VERSIONS).list_all()
        }
        announced = {
            (pool, version)
            for pool, versions in recorded.items()
            for version in versions.announced
        }
        missing = {
            (pool, version)
            for pool, versions in recorded.items()
            for version in versions.list_all()
            if version not in listed.get(pool, ())
        }
        self._announced_ms = self._update_since(self._announced_ms, announced)
        self._missing_ms = self._update_since(self._missing_ms, missing)

    def retain(self, recorded: Mapping[str, PoolVersions]) -> None:
        """Retain versions that a store has lost when it was restored."""
        self._retained.update(recorded)

    def merge_retained(
        self, recorded: Mapping[str, PoolVersions]
    ) -> Mapping[str, PoolVersions]:
        """Return the recorded versions with those that are retained."""
        merged = dict(recorded)
        for pool, retained in self._retained.items():
            versions = recorded.get(pool, _NO_VERSIONS)
            lost = retained.list_all() - versions.list_all()
            merged[pool] = PoolVersions(
                settled=(*versions.settled, *sorted(lost)),
                announced=versions.announced,
            )
        return merged

    def find_change(
        self, pool: str, retention_ms: float
    ) -> PoolVersions | None:
        """
        Return what the record of a pool has to be; None if it is right.

        Parameters
        ----------
        pool : str
            The pool.
        retention_ms : float
            How long the streams of a version that is no longer listed may be
            resumed.
        """
        listed = frozenset(self._listed.get(pool, ()))
        if not listed:
            return None
        recorded = self._recorded.get(pool)
        retained = self._retained.get(pool, _NO_VERSIONS).list_all()
        if recorded is None and len(listed | retained) == 1:
            # No stream has begun at any other version.
            return PoolVersions(settled=tuple(listed))
        recorded = recorded or _NO_VERSIONS
        expired = self._list_older(self._missing_ms, pool, retention_ms)
        known = recorded.list_all() | retained
        settled = (
            frozenset(recorded.settled)
            | self._list_older(self._announced_ms, pool, self._propagation_ms)
            | (retained - recorded.list_all())
        ) - expired
        announced = (known | listed) - settled - expired
        change = PoolVersions(
            settled=tuple(sorted(settled)),
            announced=tuple(sorted(announced)),
        )
        if len(change.list_all()) > global_settings.MAX_POOL_VERSIONS:
            return None
        return None if _is_same(change, recorded) else change

    def _update_since(
        self,
        since_ms: Mapping[tuple[str, str], float],
        current: Collection[tuple[str, str]],
    ) -> dict[tuple[str, str], float]:
        return {key: since_ms.get(key, self._observed_ms) for key in current}

    def _list_older(
        self,
        since_ms: Mapping[tuple[str, str], float],
        pool: str,
        age_ms: float,
    ) -> frozenset[str]:
        return frozenset(
            version
            for (key_pool, version), since in since_ms.items()
            if key_pool == pool and self._observed_ms - since >= age_ms
        )


def _is_same(change: PoolVersions, recorded: PoolVersions) -> bool:
    return frozenset(change.settled) == frozenset(
        recorded.settled
    ) and frozenset(change.announced) == frozenset(recorded.announced)
