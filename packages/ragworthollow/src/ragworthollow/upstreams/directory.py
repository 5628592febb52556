"""Track the upstream instances that may receive requests."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.routes.route_history import RouteHistory
from ragworthollow.upstreams.domain_drains import DomainDrains
from ragworthollow.upstreams.event_numberings import EventNumberings
from ragworthollow.upstreams.instance_signals import InstanceSignals
from ragworthollow.upstreams.observation import Observation
from ragworthollow.upstreams.pool_versions import PoolVersions
from ragworthollow.upstreams.recorded_streams import RecordedStreams
from ragworthollow.upstreams.stream_versions import StreamVersions
from ragworthollow.upstreams.upstream_instance import UpstreamInstance
from ragworthollow.upstreams.version_history import VersionHistory
from ragworthollow.utils import get_monotonic_ms


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryChange:
    """
    Describe how a new list changed the directory.

    Attributes
    ----------
    appeared : tuple of str
        Instances that may receive requests from now on.
    left : tuple of str
        Instances that receive no further requests.
    restarted : tuple of str
        Instances that restarted under the same identifier; everything that
        was known about them is obsolete.
    """

    appeared: tuple[str, ...]
    left: tuple[str, ...]
    restarted: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.appeared or self.left or self.restarted)


class Directory:
    """
    Track which instances may receive requests.

    An instance that announces its shutdown, or whose entry is gone,
    receives no new requests once the list is applied.  There is one
    exception: during an outage of the store, the entries of live instances
    may expire, and they return within seconds of its recovery.  Removing
    them at once would empty the pools, so missing entries are kept until
    `EXPIRED_ENTRY_GRACE_MS` after the first list that is read after the
    outage.

    This period starts with that list, not when an entry goes missing.  An
    instance whose entry disappears a second after the store has recovered has
    shut down, and would receive requests if it was kept for a full period.

    What an instance states in a response takes precedence over any list: during
    an outage of the store, the last list is out of date.

    Instances in a drained failure domain receive no requests until the drain
    ends.  If no other instances are left, their pool is empty, since operators
    have ruled that no requests may go there.

    Parameters
    ----------
    propagation_ms : float
        Time in which all gateways learn of a change of the store.

    Attributes
    ----------
    drains : DomainDrains
        Drained failure domains.
    versions : VersionHistory
        Software versions that the instances of each pool have had.
    recorded_versions : mapping of str to PoolVersions
        Versions of each pool that the gateways have recorded in the store.
    stream_versions : StreamVersions
        Software versions of the streams that this process has relayed.
    recorded_streams : RecordedStreams
        Those that the gateways have recorded in the store.
    route_history : RouteHistory
        Routes of earlier configurations, which lead to the pools.
    event_numberings : EventNumberings
        Numbering of the events of these streams.
    updated_ms : float
        Time at which the current list was requested, on the monotonic clock.
    observation : Observation
        Since when and how recently lists were applied.
    """

    def __init__(self, *, propagation_ms: float = math.inf) -> None:
        self.observation = Observation(propagation_ms=propagation_ms)
        self.route_history = RouteHistory()
        self._by_id: dict[str, UpstreamInstance] = {}
        self._by_pool: dict[str, tuple[UpstreamInstance, ...]] = {}
        self._missing_since_ms: dict[str, float] = {}
        self._pools_drained: frozenset[str] = frozenset()
        self._signals = InstanceSignals()
        self._is_store_unavailable = False
        self._recovered_ms = float('-inf')
        self.drains = DomainDrains()
        self.versions = VersionHistory()
        self.recorded_versions: Mapping[str, PoolVersions] = {}
        self.recorded_streams = RecordedStreams()
        self.stream_versions = StreamVersions(
            limit=global_settings.MAX_STREAM_VERSIONS
        )
        self.event_numberings = EventNumberings()
        self.updated_ms = float('-inf')

    def record_outage(self) -> None:
        """Record that the list could not be read."""
        self._is_store_unavailable = True

    def replace(
        self,
        listed: Iterable[UpstreamInstance],
        now_ms: float,
        drained: Iterable[str] = (),
    ) -> DirectoryChange:
        """
        Replace the list of instances.

        Parameters
        ----------
        listed : iterable of UpstreamInstance
            All entries, including instances that are shutting down.
        now_ms : float
            Time at which the list was requested, on the monotonic clock.
        drained : iterable of str
            Drained failure domains at the same time.

        Returns
        -------
        DirectoryChange
            Instances that appeared, left or restarted.
        """
        self.drains.replace(drained, now_ms)
        entries_by_id = {entry.instance: entry for entry in listed}
        self.versions.record(entries_by_id.values(), now_ms)
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._recovered_ms = now_ms
        eligible = {
            name: entry
            for name, entry in entries_by_id.items()
            if not entry.is_leaving and not self._has_announced_leaving(entry)
        }
        self._missing_since_ms = {
            name: self._missing_since_ms.get(name, now_ms)
            for name in self._by_id.keys() - entries_by_id.keys()
        }
        for name in self._missing_since_ms:
            if self._may_have_expired(name, now_ms):
                eligible[name] = self._by_id[name]
        eligible = self._exclude_drained(eligible)
        change = DirectoryChange(
            appeared=tuple(eligible.keys() - self._by_id.keys()),
            left=tuple(self._by_id.keys() - eligible.keys()),
            restarted=self._find_restarted(eligible),
        )
        self._by_id = eligible
        self._by_pool = _group_by_pool(eligible.values())
        self.updated_ms = now_ms
        self.observation.record(now_ms)
        return change

    def is_known(self) -> bool:
        """Return whether any list has been applied."""
        return math.isfinite(self.updated_ms)

    def record_leaving(self, incarnation: str, since_ms: float) -> bool:
        """
        Stop sending to an instance that has announced its shutdown.

        Parameters
        ----------
        incarnation : str
            Incarnation of the instance; others under its name are unaffected.
        since_ms : float
            Time of the announcement, on the monotonic clock.

        Returns
        -------
        bool
            False if the shutdown was already known.
        """
        is_new = self._signals.record_leaving(incarnation, since_ms)
        if is_new:
            self._by_id = {
                name: entry
                for name, entry in self._by_id.items()
                if not self._has_announced_leaving(entry)
            }
            self._by_pool = _group_by_pool(self._by_id.values())
        return is_new

    def get_leaving(self) -> Mapping[str, float]:
        """Return when each instance announced its shutdown."""
        return self._signals.get_leaving()

    def record_pause(self, instance: UpstreamInstance, until_ms: float) -> None:
        """Pause an instance until a time on the monotonic clock."""
        self._signals.record_pause(instance.get_incarnation(), until_ms)

    def get_remaining_pause_ms(self, instance: UpstreamInstance) -> float:
        """Return the rest of an instance's pause; 0 if it is not paused."""
        return self._signals.get_remaining_pause_ms(
            instance.get_incarnation(),
            get_monotonic_ms(),
        )

    def get_pool_pause_ms(self, pool: str) -> float:
        """Return the shortest remaining pause in a pool; 0 if any has none."""
        pauses_ms = map(
            self.get_remaining_pause_ms, self._by_pool.get(pool, ())
        )
        return min(pauses_ms, default=0)

    def get_pool(self, pool: str) -> tuple[UpstreamInstance, ...]:
        """Return the instances of a pool that may receive requests now."""
        members = self._by_pool.get(pool, ())
        if not self._signals.has_pauses():
            return members
        return tuple(
            entry for entry in members if not self.get_remaining_pause_ms(entry)
        )

    def is_pool_drained(self, pool: str) -> bool:
        """Return whether a pool is empty because its domains are drained."""
        return pool in self._pools_drained and not self._by_pool.get(pool)

    def get(self, instance: str) -> UpstreamInstance | None:
        """Return an instance that may receive requests, or None."""
        return self._by_id.get(instance)

    def find_by_address(
        self, pool: str, address: str
    ) -> UpstreamInstance | None:
        """Return the instance of a pool at an address, or None."""
        for entry in self._by_pool.get(pool, ()):
            if entry.address == address:
                return entry
        return None

    def _has_announced_leaving(self, entry: UpstreamInstance) -> bool:
        return self._signals.is_leaving(entry.get_incarnation())

    def _exclude_drained(
        self,
        eligible: Mapping[str, UpstreamInstance],
    ) -> dict[str, UpstreamInstance]:
        """Return the instances outside drained failure domains."""
        serving = {
            name: entry
            for name, entry in eligible.items()
            if not self.drains.is_drained(entry.failure_domain)
        }
        self._pools_drained = frozenset(
            eligible[name].pool for name in eligible.keys() - serving.keys()
        )
        return serving

    def _find_restarted(
        self,
        eligible: dict[str, UpstreamInstance],
    ) -> tuple[str, ...]:
        return tuple(
            name
            for name, entry in eligible.items()
            if name in self._by_id
            and not entry.is_same_incarnation(self._by_id[name])
        )

    def _may_have_expired(self, name: str, now_ms: float) -> bool:
        """
        Return whether a missing entry may have expired during an outage.

        Repeated outages must not keep an entry indefinitely, so the period
        never starts later than the time at which the entry went missing.
        """
        since_ms = min(self._recovered_ms, self._missing_since_ms[name])
        return now_ms - since_ms < global_settings.EXPIRED_ENTRY_GRACE_MS


def _group_by_pool(
    instances: Iterable[UpstreamInstance],
) -> dict[str, tuple[UpstreamInstance, ...]]:
    grouped: dict[str, list[UpstreamInstance]] = {}
    for entry in instances:
        grouped.setdefault(entry.pool, []).append(entry)
    return {
        pool: tuple(sorted(members, key=lambda member: member.instance))
        for pool, members in grouped.items()
    }
