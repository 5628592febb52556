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
    harmful_parts : int
        Number of prompt parts that crash the engine that runs a request with
        them, each in requests that all differ.
    harmful_part_per_s : float
        Rate of requests with each of these parts.
    harmful_from_s : float
        When requests that crash engines begin, in seconds.
    templates, documents : int
        Numbers of parts from which the prompts of all requests are composed:
        a template, then a document; 0 for requests without a prompt.
    crashes_per_s : float
        Rate of engine crashes that no request causes.
    outages_per_s, outage_share : float
        Rate of outages, and the share of the engines that each of them ends at
        the same time.
    crash_limit : int
        Number of crashes at which a request is quarantined; 0 to disable
        quarantine.
    part_crash_limit : int
        The same for prompt parts.
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
    harmful_parts: int = 0
    harmful_part_per_s: float = 2
    harmful_from_s: float = 0
    templates: int = 0
    documents: int = 0
    crashes_per_s: float = 0
    outages_per_s: float = 0
    outage_share: float = 0.6
    crash_limit: int = 2
    part_crash_limit: int = 3
    length_s: float = 60
