"""Define who holds a key."""

from dataclasses import dataclass


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
    """

    organisation: str
    priority: int | None = None
