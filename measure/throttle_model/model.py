"""Simulate one pattern with one policy."""

import random
from dataclasses import dataclass

from measure.throttle_model.pattern import Pattern, count_max_in_window
from measure.throttle_model.policies import MakePolicy
from ragworthollow.throttling import RateLimits

_VIEW_INTERVAL_MS = 50
_WEIGHTS = (1, 2, 3, 4, 6)


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """
    Hold the results of a simulation.

    Attributes
    ----------
    most : int
        Maximum number of requests in any window at any throttled instance.
    served : float
        Fraction of the requests that were sent to an instance.
    used : float
        Requests sent to the throttled instances, as a fraction of their
        capacity.
    """

    most: int
    served: float
    used: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Fleet:
    """
    Configure the fleet of a simulation.

    Attributes
    ----------
    gateways, instances : int
        Number of gateways and of instances.
    requests_per_s : float
        Rate of requests to all instances together.
    span_ms : float
        Duration of the simulation.
    window_ms : float
        Length of the windows in which arrivals are counted.
    is_uneven : bool
        Whether some gateways have several times as many callers as others.
    """

    gateways: int
    instances: int
    requests_per_s: float
    span_ms: float = 8_000
    window_ms: float = 1_000
    is_uneven: bool = False

    def get_weights(self) -> list[float]:
        """Return the relative number of callers of each gateway."""
        weights = _WEIGHTS if self.is_uneven else (1,)
        return [
            weights[number % len(weights)] for number in range(self.gateways)
        ]


def play(
    fleet: Fleet,
    pattern: Pattern,
    make_policy: MakePolicy,
    limits: RateLimits,
    seed: int,
) -> Outcome:
    """
    Send requests through gateways that prefer throttled instances.

    Throttled instances report no load, so that every gateway prefers them.
    This is the worst case of a choice by load reports that all gateways
    share.

    Parameters
    ----------
    fleet : Fleet
        Configuration of the fleet.
    pattern : Pattern
        Throttled share of the pool, and membership view of each gateway.
    make_policy : callable
        Creates the throttling policy of each gateway.
    limits : RateLimits
        Limits of each instance.
    seed : int
        Seed of the random number generator.
    """
    rng = random.Random(seed)  # noqa: S311
    count = max(1, round(fleet.instances * pattern.throttled_share))
    throttled = [f'instance-{number}' for number in range(count)]
    has_unthrottled = count < fleet.instances
    policies = [
        make_policy(f'gateway-{number}', limits)
        for number in range(fleet.gateways)
    ]
    view_updated_ms = {
        number: float('-inf') for number in range(fleet.gateways)
    }
    sent_ms: dict[str, list[float]] = {name: [] for name in throttled}
    gateway_numbers = range(fleet.gateways)
    weights = fleet.get_weights()
    served = 0
    request_count = 0
    now_ms = rng.expovariate(fleet.requests_per_s / 1000)
    while now_ms < fleet.span_ms:
        number = rng.choices(gateway_numbers, weights)[0]
        policy = policies[number]
        if now_ms - view_updated_ms[number] >= _VIEW_INTERVAL_MS:
            view_updated_ms[number] = now_ms
            view = pattern.get_view(number, fleet.gateways, now_ms)
            policy.set_members([f'gateway-{one}' for one in view], now_ms)
        # All gateways read the same reports and consider the same instance
        # idle.
        allowed = next(
            (one for one in throttled if policy.may_send(one, now_ms)),
            '',
        )
        request_count += 1
        served += bool(allowed or has_unthrottled)
        if allowed:
            policy.record_sent(allowed, now_ms)
            sent_ms[allowed].append(now_ms)
        now_ms += rng.expovariate(fleet.requests_per_s / 1000)
    capacity = limits.requests_per_s * fleet.span_ms / 1000 * count
    return Outcome(
        most=max(
            count_max_in_window(times_ms, fleet.window_ms)
            for times_ms in sent_ms.values()
        ),
        served=served / max(1, request_count),
        used=sum(map(len, sent_ms.values())) / capacity,
    )
