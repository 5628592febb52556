"""Restrict the regions in which a request may run."""

AllowedRegions = frozenset[str]


def intersect_regions(
    first: AllowedRegions | None, second: AllowedRegions | None
) -> AllowedRegions | None:
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


def is_region_allowed(
    region: str, allowed_regions: AllowedRegions | None
) -> bool:
    """
    Return whether a request may run in a region.

    An unknown region is allowed only if there is no restriction.
    """
    return allowed_regions is None or region in allowed_regions
