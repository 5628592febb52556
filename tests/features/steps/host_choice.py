"""Behave steps for the choice of hosts by their capacity."""

import collections
from unittest import mock

import msgspec
from behave import given, then, when

from ragworthollow.conf import global_settings
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.membership.host_capacity import compute_capacity
from ragworthollow.transport.host_messages import HostState, MemberChange
from ragworthollow.utils.hashing import get_rank

_GET_RANK = 'ragworthollow.membership.gateway_members.get_rank'


def _make_member(name: str, cores: float, link_mbps: float) -> GatewayMember:
    return GatewayMember(
        instance=name,
        incarnation=name,
        peer_address='127.0.0.1:1',
        failure_domain='one',
        capacity=compute_capacity(cores=cores, link_mbps=link_mbps),
    )


@given(
    '{small:d} gateways of {cores:g} cores and {mbps:g} Mbit/s, '
    'and {large:d} of {more_cores:g} and {more_mbps:g}',
)
def make_fleet(context, small, cores, mbps, large, more_cores, more_mbps):
    context.listed = [
        *(
            _make_member(f'small-{number}', cores, mbps)
            for number in range(small)
        ),
        *(
            _make_member(f'large-{number}', more_cores, more_mbps)
            for number in range(large)
        ),
    ]
    context.members = _make_members(context, context.listed[0])


def _make_members(context, own: GatewayMember) -> GatewayMembers:
    members = GatewayMembers(instance=own.instance, capacity=own.capacity)
    members.replace(context.listed)
    return members


@given('the large gateways do not respond')
def mark_large_unresponsive(context):
    for member in context.listed:
        if member.instance.startswith('large'):
            context.members.mark_unresponsive(member.instance)


@when('the hosts of {count:d} pools are chosen')
def choose_hosts(context, count):
    context.hosts = _choose_hosts(context.members, 'small-0', count)


@when('the hosts of {count:d} pools are chosen by each of them')
def choose_hosts_by_each(context, count):
    context.chosen = [
        _choose_hosts(_make_members(context, member), member.instance, count)
        for member in context.listed
    ]


def _choose_hosts(members: GatewayMembers, own: str, count: int) -> list[str]:
    hosts = [members.find_host(f'pool-{one}') for one in range(count)]
    return [own if one is None else one.instance for one in hosts]


@then(
    'each is a {kind:w} gateway, and no gateway hosts more than {most:d} of '
    'them'
)
def check_hosts(context, kind, most):
    assert all(name.startswith(kind) for name in context.hosts), context.hosts
    busiest = collections.Counter(context.hosts).most_common(1)
    assert busiest[0][1] <= most, busiest


@then('all have chosen the same')
def check_same(context):
    assert all(hosts == context.chosen[0] for hosts in context.chosen)


@when('the host of a pool is asked for {count:d} times')
def find_host_often(context, count):
    with mock.patch(_GET_RANK, side_effect=get_rank) as rank_spy:
        for _ in range(count):
            context.members.find_host('pool')
            context.members.find_highest_ranked('pool')
        context.ranked = rank_spy.call_count


@then('each member was ranked once')
def check_ranked(context):
    assert context.ranked == len(context.listed), context.ranked


@then('each member was ranked once more after another has joined')
def check_ranked_again(context):
    joined = _make_member('small-new', 0.4, 20)
    context.members.apply_change(MemberChange(member=joined), 0)
    find_host_often(context, 10)
    assert context.ranked == len(context.listed) + 1, context.ranked


@when('a large gateway reports at {now_ms:d} ms that it joins')
def join_large_gateway(context, now_ms):
    context.joined = _make_member('large-new', 2.2, 200)
    context.members.apply_change(MemberChange(member=context.joined), now_ms)


@then('it stays a member after a list of {proved_ms:d} ms that lacks it')
def check_stays(context, proved_ms):
    context.members.replace(context.listed, proved_ms)
    assert 'large-new' in context.members.get_members()


@then('it is no member after a list of {proved_ms:d} ms that lacks it')
def check_dropped(context, proved_ms):
    context.members.replace(context.listed, proved_ms)
    assert 'large-new' not in context.members.get_members()


_POOLS = tuple(f'pool-{number}' for number in range(3))
_UNRESPONSIVE_FILTERS = {
    'all the others': lambda own, other: True,
    'all but one of them': lambda own, other: other.instance != 'large-2',
    'those of its own kind': lambda own, other: own.capacity == other.capacity,
}


@given('each gateway has found {what} unresponsive, and they respond again')
def mark_others_unresponsive(context, what):
    context.fleet = {
        member.instance: _make_members(context, member)
        for member in context.listed
    }
    is_unresponsive = _UNRESPONSIVE_FILTERS[what]
    for own in context.listed:
        members = context.fleet[own.instance]
        members.set_pools(_POOLS)
        for other in context.listed:
            if other.instance != own.instance and is_unresponsive(own, other):
                members.mark_unresponsive(other.instance)


def _ping_for(fleet: dict[str, GatewayMembers], span_ms: int) -> None:
    """Have each gateway ping its targets for a time.

    Gateways that are missing in `fleet` do not respond.
    """
    for _ in range(span_ms // global_settings.HOST_PING_MS):
        for members in fleet.values():
            for target in members.choose_ping_targets():
                if target.instance in fleet:
                    members.record_response(HostState(instance=target.instance))
                else:
                    members.mark_unresponsive(target.instance)


def _choose_hosts_by_all(fleet: dict[str, GatewayMembers]) -> list[list[str]]:
    chosen = []
    for name, members in fleet.items():
        hosts = [members.find_host(pool) for pool in _POOLS]
        chosen.append(
            [name if host is None else host.instance for host in hosts],
        )
    return chosen


@when(
    'the hosts of {count:d} pools stop one after the other, '
    'each {pause_ms:d} ms later',
)
def stop_hosts_in_turn(context, count, pause_ms):
    context.rounds = []
    for position in range(count):
        _ping_for(context.fleet, pause_ms)
        _stop_gateway(context, _choose_hosts_by_all(context.fleet)[0][position])
        context.rounds.append(_choose_hosts_by_all(context.fleet))


def _stop_gateway(context, name: str) -> None:
    context.fleet.pop(name)
    (member,) = (listed for listed in context.listed if listed.instance == name)
    leaving = msgspec.structs.replace(member, is_leaving=True)
    for members in context.fleet.values():
        members.apply_change(MemberChange(member=leaving), 0)


@then('all gateways have chosen the same hosts after each stop')
def check_same_hosts(context):
    for chosen in context.rounds:
        assert all(hosts == chosen[0] for hosts in chosen), chosen
