"""Choose the peers of a process from the platform's instance list."""

import random

from ragworthollow.conf import global_settings
from ragworthollow.platform.instance_list import InstanceEntry, InstanceList
from ragworthollow.utils.hashing import get_rank


class PeerDirectory:
    """
    Choose peers from the last known instance list.

    Parameters
    ----------
    instance, failure_domain : str
        Name and failure domain of this process.
    rng : Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        instance: str,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._rng = rng
        self.listed = InstanceList()

    def get_pool(self, pool: str) -> list[InstanceEntry]:
        """Return the listed instances of one pool."""
        return [entry for entry in self.listed.instances if entry.pool == pool]

    def is_watcher(self) -> bool:
        """
        Return whether this process watches the platform itself.

        A process that is not listed yet watches as well, since it cannot know
        whether the other processes see it.
        """
        watchers = self._get_watchers(self._failure_domain)
        names = {watcher.instance for watcher in watchers}
        return self._instance in names or not self.is_listed()

    def is_listed(self) -> bool:
        """Return whether the platform lists this process."""
        return any(
            entry.instance == self._instance for entry in self.listed.instances
        )

    def get_all_watchers(self) -> list[InstanceEntry]:
        """Return the watchers of all failure domains, except this process."""
        domains = {entry.failure_domain for entry in self.listed.instances}
        return [
            watcher
            for domain in sorted(domains)
            for watcher in self._get_watchers(domain)
            if watcher.instance != self._instance
        ]

    def get_own_watchers(self) -> list[InstanceEntry]:
        """Return the other watchers of this process's failure domain."""
        return [
            watcher
            for watcher in self._get_watchers(self._failure_domain)
            if watcher.instance != self._instance
        ]

    def sample(self, size: int) -> list[InstanceEntry]:
        """Return up to `size` random peers."""
        others = [
            entry
            for entry in self.listed.instances
            if entry.instance != self._instance
        ]
        return self._rng.sample(others, min(size, len(others)))

    def _get_watchers(self, domain: str) -> list[InstanceEntry]:
        members = [
            entry
            for entry in self.listed.instances
            if entry.failure_domain == domain
        ]
        members.sort(
            key=lambda entry: get_rank(f'watch/{domain}', entry.instance),
            reverse=True,
        )
        return members[: global_settings.WATCHERS_PER_DOMAIN]
