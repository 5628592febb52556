"""Derive the peers of a process from the platform's instance list."""

import random

from ragworthollow.conf import global_settings
from ragworthollow.platform.instance_list import InstanceEntry, InstanceList
from ragworthollow.utils.hashing import get_rank


class Peers:
    """
    Choose peers from the last known list.

    Parameters
    ----------
    instance, failure_domain : str
        This process.
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
        return [one for one in self.listed.instances if one.pool == pool]

    def is_watcher(self) -> bool:
        """
        Tell whether this process watches the platform itself.

        A process that is not listed yet watches, too: it cannot know whether
        the others see it.
        """
        watchers = self._get_watchers(self._failure_domain)
        names = {one.instance for one in watchers}
        return self._instance in names or not self.is_listed()

    def is_listed(self) -> bool:
        """Tell whether the platform lists this process."""
        return any(
            one.instance == self._instance for one in self.listed.instances
        )

    def get_all_watchers(self) -> list[InstanceEntry]:
        """Return the watchers of every failure domain but ourselves."""
        domains = {one.failure_domain for one in self.listed.instances}
        return [
            watcher
            for domain in sorted(domains)
            for watcher in self._get_watchers(domain)
            if watcher.instance != self._instance
        ]

    def get_own_watchers(self) -> list[InstanceEntry]:
        """Return the watchers of our own failure domain but ourselves."""
        return [
            watcher
            for watcher in self._get_watchers(self._failure_domain)
            if watcher.instance != self._instance
        ]

    def sample(self, size: int) -> list[InstanceEntry]:
        """Return some random peers."""
        others = [
            one
            for one in self.listed.instances
            if one.instance != self._instance
        ]
        return self._rng.sample(others, min(size, len(others)))

    def _get_watchers(self, domain: str) -> list[InstanceEntry]:
        members = [
            one for one in self.listed.instances if one.failure_domain == domain
        ]
        members.sort(
            key=lambda one: get_rank(f'watch/{domain}', one.instance),
            reverse=True,
        )
        return members[: global_settings.WATCHERS_PER_DOMAIN]
