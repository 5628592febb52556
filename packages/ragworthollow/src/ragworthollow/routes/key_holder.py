"""Define who holds a key."""

from dataclasses import dataclass

from ragworthollow.routes.homes import Homes


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyHolder:
    """
    Name the organisation behind a key.

    Attributes
    ----------
    organisation : str
        Name that upstreams are told.
    priority : int or None
        Rank of its requests, 0 first; None leaves the rank to the route.
    homes : frozenset of str or None
        Regions in which its requests may run; None for any.
    """

    organisation: str
    priority: int | None = None
    homes: Homes | None = None
