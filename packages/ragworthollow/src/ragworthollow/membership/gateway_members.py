"""Track the gateways and choose which of them hosts a scheduler."""

import math
from collections.abc import Collection, Iterable, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.host_capacity import get_size_class
from ragworthollow.membership.host_reports import HostReports
from ragworthollow.transport.host_messages import HostState, MemberChange
from ragworthollow.utils.hashing import get_rank

_READERS = 'readers of the store'
_NO_SCHEDULER = ''


class GatewayMembers:
    """
    Track the gateways that this gateway knows.

    Each gateway chooses the host of a pool's scheduler for itself: the member
    with the highest rank for the pool among the responsive members, with larger
    size classes before smaller ones.  No agreement is needed, since a moment
    with two hosts reduces the size of batches, but loses no responses.

    Parameters
    ----------
    instance : str
        Name of this gateway, which is always a member.
    capacity : float
        Number of cores that it can use for schedulers.
    """

    def __init__(self, *, instance: str, capacity: float = 0) -> None:
        self._instance = instance
        self._capacity = capacity
        # Cache: names of members ordered by rank, by pool; valid until the
        # members or their capacities change.
        self._ranked: dict[str, list[str]] = {}
        self._members: dict[str, GatewayMember] = {}
        self._unresponsive: set[str] = set()
        # Unresponsive members pinged so far, for round-robin selection.
        self._unresponsive_pinged = 0
        # Members that reported themselves, and when, by name.
        self._reported: dict[str, tuple[GatewayMember, float]] = {}
        # Incarnations that are shutting down, by name.
        self._leaving: dict[str, str] = {}
        self._pools: tuple[str, ...] = ()
        self.reports = HostReports()
        self._is_leaving = False

    def leave(self) -> None:
        """Host no schedulers any more, as long as another member can."""
        self._is_leaving = True

    def replace(
        self,
        members: Iterable[GatewayMember],
        confirmed_ms: float = math.inf,
    ) -> None:
        """
        Replace the members by a complete list.

        A list confirmed as the latest at some time does not cover members that
        have reported themselves since.  A joining member would otherwise be
        dropped until the list contains it, and its schedulers would flap
        between hosts.

        Parameters
        ----------
        members : iterable of GatewayMember
            All listed members.
        confirmed_ms : float
            When the list was confirmed as the latest, on the monotonic clock.
        """
        previous = self._members
        self._reported = {
            name: (member, received_ms)
            for name, (member, received_ms) in self._reported.items()
            if received_ms > confirmed_ms
        }
        self._members = {member.instance: member for member in members}
        self._members.update(
            (name, member) for name, (member, _) in self._reported.items()
        )
        if _get_capacities(previous) != _get_capacities(self._members):
            self._ranked.clear()
        self._unresponsive &= self._members.keys()
        for member in self._members.values():
            self._record_leaving(member)

    def apply_change(self, change: MemberChange, now_ms: float) -> None:
        """
        Apply a change that a member reports of itself.

        It arrives before the next read of the list, so that all gateways change
        hosts at the same time: two hosts of a pool would send calls to the same
        instances without knowing of each other.

        Parameters
        ----------
        change : MemberChange
            Change that was received.
        now_ms : float
            Time on the monotonic clock.
        """
        member = change.member
        self._members[member.instance] = member
        self._reported[member.instance] = (member, now_ms)
        self._ranked.clear()
        self._unresponsive.discard(member.instance)
        self._record_leaving(member)

    def mark_unresponsive(self, instance: str) -> None:
        """Mark a member as unresponsive until it responds again."""
        self._unresponsive.add(instance)

    def record_response(self, state: HostState) -> None:
        """
        Record a response of a member: its state and its schedulers' waits.

        A member that is shutting down gets no new pieces, but the pieces it has
        stay there: its record in the store may outlive it by seconds.
        """
        self._unresponsive.discard(state.instance)
        self.reports.record(state)
        member = self._members.get(state.instance)
        if not state.is_leaving:
            self._leaving.pop(state.instance, None)
        elif member is not None:
            self._leaving[state.instance] = member.incarnation

    def is_unresponsive(self, instance: str) -> bool:
        """Return whether a member is marked as unresponsive."""
        return instance in self._unresponsive

    def set_pools(self, pools: Iterable[str]) -> None:
        """Set the pools that have schedulers."""
        self._pools = tuple(pools)

    def get_hosts(self) -> list[GatewayMember]:
        """Return the other members that host schedulers."""
        hosts = {
            host.instance: host
            for host in map(self.find_host, self._pools)
            if host is not None
        }
        return list(hosts.values())

    def choose_ping_targets(self) -> list[GatewayMember]:
        """
        Choose the other members to ping.

        Besides the hosts, these are the highest-ranked member of each pool and
        unresponsive members: those that would be the next hosts, and one of
        the others in round-robin order.  A member that is pinged no more would
        be skipped permanently: it was unresponsive for a moment, as all members
        are when they start, and gateways that did not contact it at that moment
        choose it as the next host.  The pool would then have two schedulers
        that do not know of each other.

        Returns
        -------
        list of GatewayMember
            If no pool has a scheduler, it contains one member to poll for the
            updates that this member receives from others.
        """
        targets = {host.instance for host in self.get_hosts()}
        for pool in self._pools or (_NO_SCHEDULER,):
            targets.add(self._rank(pool)[0])
            targets.update(
                _list_unresponsive_candidates(
                    self._rank(pool),
                    self._unresponsive,
                    self._leaving,
                ),
            )
        others = sorted(self._unresponsive - targets)
        if others:
            self._unresponsive_pinged += 1
            targets.add(others[self._unresponsive_pinged % len(others)])
        targets.discard(self._instance)
        return [
            self._members[name] for name in targets if name in self._members
        ]

    def get_reader_rank(self) -> int | None:
        """
        Return the rank of this gateway among the hosts, which all others poll.

        Returns
        -------
        int or None
            0 for the first; None if it hosts no scheduler.
        """
        hosts = {host.instance for host in self.get_hosts()}
        if not any(self.find_host(pool) is None for pool in self._pools):
            return None
        own_rank = get_rank(_READERS, self._instance)
        return sum(get_rank(_READERS, host) > own_rank for host in hosts)

    def count(self) -> int:
        """Return the number of gateways, including this gateway."""
        return len(self._members.keys() | {self._instance})

    def get_members(self) -> Mapping[str, GatewayMember]:
        """Return the members by name."""
        return self._members

    def find_host(
        self, pool: str, *, can_be_self: bool = True
    ) -> GatewayMember | None:
        """
        Return the member that hosts the scheduler of a pool.

        Parameters
        ----------
        pool : str
            Pool of the scheduler.
        can_be_self : bool
            False for the host after this gateway has left.

        Returns
        -------
        GatewayMember or None
            None if this gateway hosts it, or if no other member can.
        """
        is_candidate = can_be_self and not self._is_leaving
        for name in self._rank(pool):
            is_self = name == self._instance
            if is_self and is_candidate:
                break
            if not (
                is_self or name in self._unresponsive or name in self._leaving
            ):
                return self._members[name]
        return None

    def find_highest_ranked(self, pool: str) -> GatewayMember | None:
        """Return the member with the highest rank, responsive or not."""
        return self._members.get(self._rank(pool)[0])

    def _record_leaving(self, member: GatewayMember) -> None:
        """
        Record whether the process of a member is shutting down.

        A record that was read before the process reported its shutdown is
        stale: only another incarnation of the member revokes the report.
        """
        if member.is_leaving:
            self._leaving[member.instance] = member.incarnation
            return
        leaving = self._leaving.pop(member.instance, '')
        if leaving == member.incarnation:
            self._leaving[member.instance] = leaving

    def _rank(self, pool: str) -> list[str]:
        ranked = self._ranked.get(pool)
        if ranked is None:
            capacities = _get_capacities(self._members)
            capacities[self._instance] = self._capacity
            ranked = sorted(
                capacities,
                key=lambda name: (
                    get_size_class(capacities[name]),
                    get_rank(pool, name),
                ),
                reverse=True,
            )
            self._ranked[pool] = ranked
        return ranked


def _get_capacities(members: Mapping[str, GatewayMember]) -> dict[str, float]:
    return {name: member.capacity for name, member in members.items()}


def _list_unresponsive_candidates(
    ranked: Iterable[str],
    unresponsive: Collection[str],
    leaving: Collection[str],
) -> list[str]:
    """Return the unresponsive members that may soon be hosts."""
    candidates: list[str] = []
    responsive = 0
    for name in ranked:
        if name in unresponsive:
            candidates.append(name)
        elif name not in leaving:
            responsive += 1
        if responsive > global_settings.HOST_CANDIDATES:
            break
    return candidates[: global_settings.MAX_UNRESPONSIVE_PINGED]
