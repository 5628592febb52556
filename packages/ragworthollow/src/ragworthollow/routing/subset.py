"""Choose the instances of a pool to which one entry sends calls."""

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

    In a small subset, each member responds often enough for its load to be
    known.  Rendezvous ranks keep the subset stable when other instances come
    and go; alternating between the domains keeps the pool usable when one of
    them fails.

    Parameters
    ----------
    entry : str
        Name of the entry; different entries get different subsets.
    instances : iterable of InstanceEntry
        The usable instances of one pool.
    size : int
        Number of instances wanted.

    Returns
    -------
    list of InstanceEntry
        At most `size` of them.
    """
    domains: dict[str, list[InstanceEntry]] = defaultdict(list)
    for instance in instances:
        domains[instance.failure_domain].append(instance)
    ranked_domains = [
        _sort_by_rank(entry, members) for members in domains.values()
    ]
    ranked_domains.sort(
        key=lambda ranked: get_rank(entry, ranked[0].failure_domain),
        reverse=True,
    )
    max_members = max(map(len, ranked_domains), default=0)
    in_turn = [
        ranked[position]
        for position in range(max_members)
        for ranked in ranked_domains
        if position < len(ranked)
    ]
    return in_turn[:size]


def _sort_by_rank(
    entry: str, members: list[InstanceEntry]
) -> list[InstanceEntry]:
    return sorted(
        members,
        key=lambda instance: get_rank(entry, instance.instance),
        reverse=True,
    )
