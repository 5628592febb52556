"""Know the gateways and choose which of them hosts a gate."""

import math
from collections.abc import Collection, Iterable, Mapping

from ragworthollow.conf import global_settings
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.host_capacity import get_capacity_class
from ragworthollow.transport.host_messages import HostState, MemberChange
from ragworthollow.utils.hashing import get_rank

WaitsByPool = Mapping[str, list[float]]
_READERS = 'readers of the store'
_NO_GATE = ''


class GatewayMembers:
    """
    Hold the gateways that this one knows.

    A gate's host is a choice that each gateway makes for itself: the member
    that ranks highest for the pool among those that answer, the ones that can
    carry most before all others.  No agreement is needed, since two hosts for
    a moment cost full calls, not answers.

    Parameters
    ----------
    instance : str
        Name of this gateway, which is always a member.
    capacity : float
        Cores that it can use for gates.
    """

    def __init__(self, *, instance: str, capacity: float = 0) -> None:
        self._instance = instance
        self._capacity = capacity
        # Members in the order of their ranks, by pool; kept while they stay.
        self._ranked: dict[str, list[str]] = {}
        self._members: dict[str, GatewayMember] = {}
        self._silent: set[str] = set()
        # Silent members asked so far, which says whose turn it is.
        self._asked_silent = 0
        # Members that spoke for themselves, and when; by name.
        self._learned: dict[str, tuple[GatewayMember, float]] = {}
        # By name, which process of that name is leaving.
        self._leaving: dict[str, str] = {}
        self._pools: tuple[str, ...] = ()
        self._waits_ms: dict[str, WaitsByPool] = {}
        self._is_leaving = False

    def leave(self) -> None:
        """Host no gate any more, as long as another member can."""
        self._is_leaving = True

    def replace(
        self,
        members: Iterable[GatewayMember],
        proved_ms: float = math.inf,
    ) -> None:
        """
        Take a whole list of members.

        A list that is known to be the newest as of a moment says nothing of
        those that have spoken for themselves since.  One that joins would be
        forgotten again until the list has it, and its gates go to and fro.

        Parameters
        ----------
        members : iterable of GatewayMember
            All that are listed.
        proved_ms : float
            When nothing newer was there, on the monotonic clock.
        """
        earlier = self._members
        self._learned = {
            name: (one, learned_ms)
            for name, (one, learned_ms) in self._learned.items()
            if learned_ms > proved_ms
        }
        self._members = {one.instance: one for one in members}
        self._members.update(
            (name, one) for name, (one, _) in self._learned.items()
        )
        if _get_capacities(earlier) != _get_capacities(self._members):
            self._ranked.clear()
        self._silent &= self._members.keys()
        for one in self._members.values():
            self._note_leaving(one)

    def learn(self, change: MemberChange, now_ms: float) -> None:
        """
        Take what a member says of itself, at a time on the monotonic clock.

        It comes before the next read of the list, so that all change hosts
        at the same time: two hosts fill the same instances without knowing
        of each other.
        """
        member = change.member
        self._members[member.instance] = member
        self._learned[member.instance] = (member, now_ms)
        self._ranked.clear()
        self._silent.discard(member.instance)
        self._note_leaving(member)

    def note_silent(self, instance: str) -> None:
        """Pass over a member until it answers again."""
        self._silent.add(instance)

    def note_answer(self, state: HostState) -> None:
        """
        Choose a member that is not leaving, and take its gates' waits.

        A member that leaves is passed over for new pieces, but what it has
        stays there: its entry in the store may outlive it by seconds.
        """
        self._silent.discard(state.instance)
        self._waits_ms[state.instance] = {
            pool: [math.inf if one is None else one for one in waits_ms]
            for pool, waits_ms in state.waits_ms.items()
        }
        member = self._members.get(state.instance)
        if not state.is_leaving:
            self._leaving.pop(state.instance, None)
        elif member is not None:
            self._leaving[state.instance] = member.incarnation

    def get_waits_ms(self, pool: str, host: str) -> list[float]:
        """Return a host's waits by priority, as it said last."""
        return self._waits_ms.get(host, {}).get(pool, [])

    def is_silent(self, instance: str) -> bool:
        """Tell whether a member is passed over."""
        return instance in self._silent

    def set_pools(self, pools: Iterable[str]) -> None:
        """Take the pools that have gates."""
        self._pools = tuple(pools)

    def get_hosts(self) -> list[GatewayMember]:
        """Return the other members that host gates."""
        hosts = {
            host.instance: host
            for host in map(self.find_host, self._pools)
            if host is not None
        }
        return list(hosts.values())

    def choose_asked(self) -> list[GatewayMember]:
        """
        Choose the other members to be asked whether they live.

        Beside the hosts these are the first in rank, and members that were
        silent: those that would be the next hosts, and one of the others in
        turn.  A member that is asked no more would be passed over for good: it
        was silent for a moment, as all are when they start, and those that have
        not met it then choose it as the next host.  Two gates of one pool that
        do not know of each other follow.

        Returns
        -------
        list of GatewayMember
            Without a gate, one that is asked for what others tell it.
        """
        asked = {one.instance for one in self.get_hosts()}
        for pool in self._pools or (_NO_GATE,):
            asked.add(self._rank(pool)[0])
            asked.update(
                _list_silent_successors(
                    self._rank(pool),
                    self._silent,
                    self._leaving,
                ),
            )
        others = sorted(self._silent - asked)
        if others:
            self._asked_silent += 1
            asked.add(others[self._asked_silent % len(others)])
        asked.discard(self._instance)
        return [self._members[name] for name in asked if name in self._members]

    def get_reader_place(self) -> int | None:
        """
        Return the place of this gateway among the hosts, which all others ask.

        Returns
        -------
        int or None
            0 for the first; None when it hosts no gate.
        """
        hosts = {one.instance for one in self.get_hosts()}
        if not any(self.find_host(pool) is None for pool in self._pools):
            return None
        own_rank = get_rank(_READERS, self._instance)
        return sum(get_rank(_READERS, one) > own_rank for one in hosts)

    def count(self) -> int:
        """Return the number of gateways, this one included."""
        return len(self._members.keys() | {self._instance})

    def get_members(self) -> Mapping[str, GatewayMember]:
        """Return the members by name."""
        return self._members

    def find_host(self, pool: str) -> GatewayMember | None:
        """
        Return the member that hosts the gate of a pool.

        Returns
        -------
        GatewayMember or None
            None when this gateway hosts it.
        """
        ranked = self._rank(pool)
        for name in ranked:
            if name == self._instance:
                if self._is_leaving:
                    continue
                return None
            if name not in self._silent and name not in self._leaving:
                return self._members[name]
        return None

    def find_first(self, pool: str) -> GatewayMember | None:
        """Return the member that ranks highest, silent or not."""
        return self._members.get(self._rank(pool)[0])

    def _note_leaving(self, member: GatewayMember) -> None:
        """
        Take from an entry whether its process is leaving.

        An entry that was read before that process said so is older: only
        another process of the name takes it back.
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
                    get_capacity_class(capacities[name]),
                    get_rank(pool, name),
                ),
                reverse=True,
            )
            self._ranked[pool] = ranked
        return ranked


def _get_capacities(members: Mapping[str, GatewayMember]) -> dict[str, float]:
    return {name: one.capacity for name, one in members.items()}


def _list_silent_successors(
    ranked: Iterable[str],
    silent: Collection[str],
    leaving: Collection[str],
) -> list[str]:
    """Return the silent members that may have to host a gate soon."""
    found: list[str] = []
    answering = 0
    for name in ranked:
        if name in silent:
            found.append(name)
        elif name not in leaving:
            answering += 1
        if answering > global_settings.HOST_SUCCESSORS:
            break
    return found[: global_settings.SILENT_ASKED_MOST]
