"""Generate the requests of a simulated day."""

import math
import random
from dataclasses import dataclass

from measure.fleet_model.load_sheet import (
    KindSheet,
    LoadSheet,
    Pattern,
    StageSheet,
)

# Standard deviation of the logarithm of prompt lengths and piece counts.
_LOG_SIGMA = 0.6


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """
    Describe one request of a day.

    Attributes
    ----------
    number : int
        Position in the order of arrival.
    kind : str
        Kind of request.
    at_ms : float
        Time at which its caller sends it first, from the start of the day.
    piece_counts : tuple of int
        Number of pieces by stage; a stage with 0 pieces is skipped.
    subject : int
        Index of its shared prompt.
    own_tokens : int
        Prompt tokens that it shares with no other request.
    request_id : str
        Identifier in a log; empty for a generated request.
    """

    number: int
    kind: str
    at_ms: float
    piece_counts: tuple[int, ...]
    subject: int
    own_tokens: int
    request_id: str = ''


def draw_arrivals(
    sheet: LoadSheet,
    pattern: Pattern,
    duration_ms: float,
    seed: int,
) -> list[Arrival]:
    """
    Generate the requests of a day.

    The same seed gives the same requests to every variant.

    Parameters
    ----------
    sheet : LoadSheet
        Request rates and size distributions.
    pattern : Pattern
        Bursts of the day.
    duration_ms : float
        Duration of the day.
    seed : int
        Seed of the random number generator.
    """
    rng = random.Random(f'{pattern.name}/{seed}')  # noqa: S311
    drawn = [
        (at_ms, name)
        for name, kind in sheet.kinds.items()
        for at_ms in _draw_times(name, kind, pattern, duration_ms, rng)
    ]
    return [
        Arrival(
            number=number,
            kind=name,
            at_ms=at_ms,
            piece_counts=tuple(
                _draw_count(stage, rng) for stage in sheet.kinds[name].stages
            ),
            subject=int(sheet.kinds[name].subjects * rng.random() ** 1.3),
            own_tokens=_draw_tokens(sheet.kinds[name], rng),
        )
        for number, (at_ms, name) in enumerate(sorted(drawn))
    ]


def _draw_times(
    name: str,
    kind: KindSheet,
    pattern: Pattern,
    duration_ms: float,
    rng: random.Random,
) -> list[float]:
    """Generate arrival times by thinning a Poisson process at peak rate."""
    max_rate = kind.rate * max(
        (burst.factor for burst in pattern.bursts),
        default=1,
    )
    times = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(max_rate) * 1000
        if at_ms >= duration_ms:
            return times
        if (
            rng.random()
            < kind.rate * _get_factor(name, pattern, at_ms) / max_rate
        ):
            times.append(at_ms)


def _get_factor(name: str, pattern: Pattern, at_ms: float) -> float:
    return max(
        (
            burst.factor
            for burst in pattern.bursts
            if burst.kind in {name, ''}
            and burst.start_ms <= at_ms < burst.end_ms
        ),
        default=1,
    )


def _draw_count(stage: StageSheet, rng: random.Random) -> int:
    if rng.random() >= stage.share:
        return 0
    if stage.most == stage.pieces:
        return stage.most
    drawn = _draw_log_normal(stage.pieces, rng)
    return max(1, min(stage.most, round(drawn)))


def _draw_tokens(kind: KindSheet, rng: random.Random) -> int:
    return max(1, round(_draw_log_normal(kind.own_tokens, rng)))


def _draw_log_normal(mean: float, rng: random.Random) -> float:
    """Draw from a log-normal distribution with the given mean."""
    return rng.lognormvariate(math.log(mean) - _LOG_SIGMA**2 / 2, _LOG_SIGMA)
