"""Choose the instances of a pool that one entry talks to."""

from collections import defaultdict
from collections.abc import Iterable

from ragworthollow.platform.instance_list import InstanceEntry
from ragworthollow.utils.hashing import get_rank


def choose_subset(
    entry: str,
    instances: Iterable[InstanceEntry],
    size: int,
) -> list[InstanceEntry]:
    """
    Choose a stable subset, spread over the failure domains.

    A small subset hears from each of its members often enough to know its
    load.  Rendezvous ranks keep the subset when others come and go; taking
    the domains in turn keeps work possible when one of them is lost.

    Parameters
    ----------
    entry : str
        Name of the entry, which makes its subset differ from others'.
    instances : iterable of InstanceEntry
        The usable instances of one pool.
    size : int
        Instances wanted.

    Returns
    -------
    list of InstanceEntry
        At most `size` of them.
    """
    domains: dict[str, list[InstanceEntry]] = defaultdict(list)
    for instance in instances:
        domains[instance.failure_domain].append(instance)
    lines = [_order(entry, members) for members in domains.values()]
    lines.sort(
        key=lambda line: get_rank(entry, line[0].failure_domain),
        reverse=True,
    )
    depth = max(map(len, lines), default=0)
    in_turn = [
        line[position]
        for position in range(depth)
        for line in lines
        if position < len(line)
    ]
    return in_turn[:size]


def _order(entry: str, members: list[InstanceEntry]) -> list[InstanceEntry]:
    return sorted(
        members,
        key=lambda one: get_rank(entry, one.instance),
        reverse=True,
    )
