"""Define the scenarios of the quarantine model."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """
    Configure a fleet, its traffic and its crashes.

    Attributes
    ----------
    gateways, engines : int
        Number of gateways and of engines.
    requests_per_s : float
        Rate of harmless requests.
    hot_share : float
        Fraction of the harmless requests that are the same request.
    resumable_share : float
        Fraction of the harmless requests that may be retried.
    harmful : int
        Number of distinct requests that crash the engine that runs them.
    harmful_per_s : float
        Rate at which the caller of each harmful request sends it.
    crashes_per_s : float
        Rate of engine crashes that no request causes.
    crash_limit : int
        Number of crashes at which a request is quarantined; 0 to disable
        quarantine.
    length_s : float
        Duration of the traffic, in seconds.
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
