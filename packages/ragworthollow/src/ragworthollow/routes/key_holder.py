"""Define the owner of an API key."""

from dataclasses import dataclass

from ragworthollow.routes.allowed_regions import AllowedRegions


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyHolder:
    """
    Describe the organisation that owns an API key.

    Attributes
    ----------
    organisation : str
        Name of the organisation, as sent to upstreams.
    priority : int or None
        Priority of its requests, 0 first; None to use that of the route.
    allowed_regions : frozenset of str or None
        Regions in which its requests may run; None for any.
    """

    organisation: str
    priority: int | None = None
    allowed_regions: AllowedRegions | None = None
