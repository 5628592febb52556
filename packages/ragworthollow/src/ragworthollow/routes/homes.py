"""Restrict the regions in which a request may run."""

Homes = frozenset[str]


def intersect_homes(first: Homes | None, second: Homes | None) -> Homes | None:
    """
    Return the regions that two restrictions on a request both allow.

    Parameters
    ----------
    first, second : frozenset of str or None
        Regions that each restriction allows; None for any.

    Returns
    -------
    frozenset of str or None
        Empty if they have none in common; None for any.
    """
    if first is None:
        return second
    if second is None:
        return first
    return first & second


def may_run_in(region: str, allowed_regions: Homes | None) -> bool:
    """
    Return whether a request may run in a region.

    An unknown region is allowed only if there is no restriction.
    """
    return allowed_regions is None or region in allowed_regions
