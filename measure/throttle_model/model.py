"""Play one pattern with one policy."""

import random
from dataclasses import dataclass

from measure.throttle_model.pattern import Pattern, count_most_in_a_second
from measure.throttle_model.policies import MakePolicy
from ragworthollow.throttling import RateLimits

_SPAN_MS = 8_000
_VIEW_MS = 50


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """
    Hold what a play showed.

    Attributes
    ----------
    most : int
        Most requests in a second at any instance that warmed up.
    served : float
        Part of the requests that found an instance.
    """

    most: int
    served: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Fleet:
    """
    Size a model.

    Attributes
    ----------
    gateways, instances : int
        Their numbers.
    requests_per_s : float
        To all instances together.
    """

    gateways: int
    instances: int
    requests_per_s: float


def play(
    fleet: Fleet,
    pattern: Pattern,
    make_policy: MakePolicy,
    limits: RateLimits,
    seed: int,
) -> Outcome:
    """
    Send requests through gateways that prefer instances which warm up.

    These report no load, so that every gateway prefers them: the worst case
    of a choice by reports that all gateways share.

    Parameters
    ----------
    fleet : Fleet
        How large it is.
    pattern : Pattern
        What befalls it.
    make_policy : callable
        Makes what decides at each gateway.
    limits : RateLimits
        What an instance bears.
    seed : int
        Of all chance.
    """
    rng = random.Random(seed)  # noqa: S311
    count = max(1, round(fleet.instances * pattern.warming_share))
    warming = [f'instance-{number}' for number in range(count)]
    has_warm = count < fleet.instances
    policies = [
        make_policy(f'gateway-{number}', limits)
        for number in range(fleet.gateways)
    ]
    viewed_ms = {number: float('-inf') for number in range(fleet.gateways)}
    sent_ms: dict[str, list[float]] = {name: [] for name in warming}
    served = 0
    asked = 0
    now_ms = rng.expovariate(fleet.requests_per_s / 1000)
    while now_ms < _SPAN_MS:
        number = rng.randrange(fleet.gateways)
        policy = policies[number]
        if now_ms - viewed_ms[number] >= _VIEW_MS:
            viewed_ms[number] = now_ms
            view = pattern.get_view(number, fleet.gateways, now_ms)
            policy.set_members([f'gateway-{one}' for one in view], now_ms)
        # All read the same reports, and take the same one for empty.
        allowed = next(
            (one for one in warming if policy.may_send(one, now_ms)),
            '',
        )
        asked += 1
        served += bool(allowed or has_warm)
        if allowed:
            policy.note_sent(allowed, now_ms)
            sent_ms[allowed].append(now_ms)
        now_ms += rng.expovariate(fleet.requests_per_s / 1000)
    return Outcome(
        most=max(map(count_most_in_a_second, sent_ms.values())),
        served=served / max(1, asked),
    )
