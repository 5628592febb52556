"""Decide in which regions a request may run."""

Homes = frozenset[str]


def intersect_homes(first: Homes | None, second: Homes | None) -> Homes | None:
    """
    Return the regions that two owners of a request both allow.

    Parameters
    ----------
    first, second : frozenset of str or None
        Regions that each of them allows; None for any.

    Returns
    -------
    frozenset of str or None
        Empty where they have none in common; None for any.
    """
    if first is None:
        return second
    if second is None:
        return first
    return first & second


def may_run_in(region: str, homes: Homes | None) -> bool:
    """
    Tell whether a request may run in a region.

    A region that is not known is none of the homes.
    """
    return homes is None or region in homes
