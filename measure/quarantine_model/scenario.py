"""Define what a model of crashing requests plays."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """
    Describe a fleet, its traffic and what crashes it.

    Attributes
    ----------
    gateways, engines : int
        Sizes of the fleet.
    requests_per_s : float
        Harmless requests.
    hot_share : float
        Part of these that are one and the same request.
    resumable_share : float
        Part of these that may be tried again.
    harmful : int
        Different requests that crash what runs them.
    harmful_per_s : float
        How often the caller of each sends it.
    crashes_per_s : float
        Crashes of engines that no request has caused.
    crash_limit : int
        Crashes from which a request is quarantined; 0 to keep none away.
    length_s : float
        How long harmful requests come.
    """

    gateways: int = 4
    engines: int = 5
    requests_per_s: float = 11
    hot_share: float = 0
    resumable_share: float = 0.3
    harmful: int = 1
    harmful_per_s: float = 1
    crashes_per_s: float = 0
    crash_limit: int = 2
    length_s: float = 60
