"""Hold the upstream instances that may get work."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.domain_drains import DomainDrains
from ragworthollow.upstreams.instance_notices import InstanceNotices
from ragworthollow.upstreams.upstream_instance import UpstreamInstance
from ragworthollow.utils import get_monotonic_ms


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryChange:
    """
    Say what a new list changed.

    Attributes
    ----------
    appeared : tuple of str
        Instances that may get work from now on.
    left : tuple of str
        Instances that get no further work.
    restarted : tuple of str
        Instances that started again under their identifier: nothing that was
        known of them holds any more.
    """

    appeared: tuple[str, ...]
    left: tuple[str, ...]
    restarted: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Tell whether anything changed."""
        return bool(self.appeared or self.left or self.restarted)


class Directory:
    """
    Know which instances may get work.

    An instance that announces its leaving, or whose entry is gone, gets no
    new work from the moment at which the list is taken.  One exception: a
    store that was away may have let the entries of live instances lapse, and
    these come back within seconds of its return.  Dropping them at once would
    empty the pools, so entries that are missing are kept until
    `LAPSED_ENTRY_MS` after the first list that could be read again.

    The time counts from that list, not from when an entry goes missing: one
    that goes a second after the store is back has left, and would get requests
    where it was kept for as long again.

    What an instance says of itself in an answer goes before any list: while the
    store is away, its list shows what was true before.

    Instances in a drained failure domain get nothing either, until the drain
    ends.  Where nothing else is left their pool is empty: the operators have
    said that no work may go there.

    Attributes
    ----------
    drains : DomainDrains
        Failure domains that are drained.
    updated_ms : float
        When the list in force was asked for, on the monotonic clock.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, UpstreamInstance] = {}
        self._by_pool: dict[str, tuple[UpstreamInstance, ...]] = {}
        self._missing_since_ms: dict[str, float] = {}
        self._pools_drained: frozenset[str] = frozenset()
        self._notices = InstanceNotices()
        self._is_away = False
        self._returned_ms = float('-inf')
        self.drains = DomainDrains()
        self.updated_ms = float('-inf')

    def note_outage(self) -> None:
        """Note that the list could not be read."""
        self._is_away = True

    def replace(
        self,
        listed: Iterable[UpstreamInstance],
        now_ms: float,
        drained: Iterable[str] = (),
    ) -> DirectoryChange:
        """
        Take a whole list.

        Parameters
        ----------
        listed : iterable of UpstreamInstance
            Every entry, leaving ones included.
        now_ms : float
            When the list was asked for, on the monotonic clock.
        drained : iterable of str
            Failure domains that are drained, as of the same moment.

        Returns
        -------
        DirectoryChange
            Which instances appeared and which get no further work.
        """
        self.drains.replace(drained, now_ms)
        if self._is_away:
            self._is_away = False
            self._returned_ms = now_ms
        everything = {entry.instance: entry for entry in listed}
        fresh = {
            name: entry
            for name, entry in everything.items()
            if not entry.is_leaving and not self._has_said_leaving(entry)
        }
        self._missing_since_ms = {
            name: self._missing_since_ms.get(name, now_ms)
            for name in self._by_id.keys() - everything.keys()
        }
        for name in self._missing_since_ms:
            if self._is_excused(name, now_ms):
                fresh[name] = self._by_id[name]
        fresh = self._leave_drained_out(fresh)
        change = DirectoryChange(
            appeared=tuple(fresh.keys() - self._by_id.keys()),
            left=tuple(self._by_id.keys() - fresh.keys()),
            restarted=self._find_restarted(fresh),
        )
        self._by_id = fresh
        self._by_pool = _group(fresh.values())
        self.updated_ms = now_ms
        return change

    def is_known(self) -> bool:
        """Tell whether any list has been taken."""
        return math.isfinite(self.updated_ms)

    def note_leaving(self, incarnation: str, since_ms: float) -> bool:
        """
        Give an instance that has said it leaves no further work.

        Parameters
        ----------
        incarnation : str
            Start of an instance; another one under its name is not meant.
        since_ms : float
            When it said so, on the monotonic clock.

        Returns
        -------
        bool
            False when that was known.
        """
        is_new = self._notices.note_leaving(incarnation, since_ms)
        if is_new:
            self._by_id = {
                name: entry
                for name, entry in self._by_id.items()
                if not self._has_said_leaving(entry)
            }
            self._by_pool = _group(self._by_id.values())
        return is_new

    def get_leaving(self) -> Mapping[str, float]:
        """Return since when instances leave that have said so."""
        return self._notices.get_leaving()

    def note_pause(self, instance: UpstreamInstance, until_ms: float) -> None:
        """Give an instance nothing until a time on the monotonic clock."""
        self._notices.note_pause(instance.get_incarnation(), until_ms)

    def get_pause_left_ms(self, instance: UpstreamInstance) -> float:
        """Return for how long an instance wants nothing; 0 if it does."""
        return self._notices.get_pause_left_ms(
            instance.get_incarnation(),
            get_monotonic_ms(),
        )

    def get_pool_pause_ms(self, pool: str) -> float:
        """Return how long no instance of a pool wants work; 0 if any does."""
        pauses_ms = map(self.get_pause_left_ms, self._by_pool.get(pool, ()))
        return min(pauses_ms, default=0)

    def get_pool(self, pool: str) -> tuple[UpstreamInstance, ...]:
        """Return the instances of a pool that may get work now."""
        members = self._by_pool.get(pool, ())
        if not self._notices.has_pauses():
            return members
        return tuple(one for one in members if not self.get_pause_left_ms(one))

    def is_pool_drained(self, pool: str) -> bool:
        """Tell whether a pool is empty since its domains are drained."""
        return pool in self._pools_drained and not self._by_pool.get(pool)

    def get(self, instance: str) -> UpstreamInstance | None:
        """Return an instance that may get work, or None."""
        return self._by_id.get(instance)

    def find_at(self, pool: str, address: str) -> UpstreamInstance | None:
        """Return the instance of a pool at an address, or None."""
        for one in self._by_pool.get(pool, ()):
            if one.address == address:
                return one
        return None

    def _has_said_leaving(self, entry: UpstreamInstance) -> bool:
        return self._notices.is_leaving(entry.get_incarnation())

    def _leave_drained_out(
        self,
        fresh: Mapping[str, UpstreamInstance],
    ) -> dict[str, UpstreamInstance]:
        """Return the instances outside of drained domains."""
        serving = {
            name: entry
            for name, entry in fresh.items()
            if not self.drains.is_drained(entry.failure_domain)
        }
        self._pools_drained = frozenset(
            fresh[name].pool for name in fresh.keys() - serving.keys()
        )
        return serving

    def _find_restarted(
        self,
        fresh: dict[str, UpstreamInstance],
    ) -> tuple[str, ...]:
        return tuple(
            name
            for name, entry in fresh.items()
            if name in self._by_id
            and not entry.is_same_incarnation(self._by_id[name])
        )

    def _is_excused(self, name: str, now_ms: float) -> bool:
        """
        Tell whether an entry that is missing may have lapsed in an outage.

        Lists that are lost again and again must not keep it for ever.
        """
        since_ms = min(self._returned_ms, self._missing_since_ms[name])
        return now_ms - since_ms < global_settings.LAPSED_ENTRY_MS


def _group(
    instances: Iterable[UpstreamInstance],
) -> dict[str, tuple[UpstreamInstance, ...]]:
    grouped: dict[str, list[UpstreamInstance]] = {}
    for entry in instances:
        grouped.setdefault(entry.pool, []).append(entry)
    return {
        pool: tuple(sorted(members, key=lambda one: one.instance))
        for pool, members in grouped.items()
    }
