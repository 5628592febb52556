"""Draw the requests of a day."""

import math
import random
from dataclasses import dataclass

from measure.fleet_model.load_sheet import (
    KindSheet,
    LoadSheet,
    Pattern,
    StageSheet,
)

# Spread of prompt lengths and piece counts (sigma of their logarithm).
_SPREAD = 0.6


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """
    Describe one request of the day.

    Attributes
    ----------
    number : int
        Position in the day.
    kind : str
        Kind of request.
    at_ms : float
        When its caller sends it.
    piece_counts : tuple of int
        Pieces by stage; 0 leaves a stage out.
    subject : int
        Which shared prompt it has.
    own_tokens : int
        Prompt tokens of its own.
    request_id : str
        Identifier in a log; empty for a drawn one.
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
    span_ms: float,
    seed: int,
) -> list[Arrival]:
    """
    Draw a day; the same seed gives the same requests to every variant.

    Parameters
    ----------
    sheet : LoadSheet
        Rates and shapes.
    pattern : Pattern
        Bursts.
    span_ms : float
        Length of the day.
    seed : int
        Of the random numbers.
    """
    rng = random.Random(f'{pattern.name}/{seed}')  # noqa: S311
    drawn = [
        (at_ms, name)
        for name, kind in sheet.kinds.items()
        for at_ms in _draw_times(name, kind, pattern, span_ms, rng)
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
    span_ms: float,
    rng: random.Random,
) -> list[float]:
    """Thin a Poisson stream of the highest rate down to that of its time."""
    most = kind.rate * max(
        (one.factor for one in pattern.bursts),
        default=1,
    )
    times = []
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(most) * 1000
        if at_ms >= span_ms:
            return times
        if rng.random() < kind.rate * _get_factor(name, pattern, at_ms) / most:
            times.append(at_ms)


def _get_factor(name: str, pattern: Pattern, at_ms: float) -> float:
    return max(
        (
            one.factor
            for one in pattern.bursts
            if one.kind in {name, ''} and one.start_ms <= at_ms < one.end_ms
        ),
        default=1,
    )


def _draw_count(stage: StageSheet, rng: random.Random) -> int:
    if rng.random() >= stage.share:
        return 0
    if stage.most == stage.pieces:
        return stage.most
    drawn = _draw_around(stage.pieces, rng)
    return max(1, min(stage.most, round(drawn)))


def _draw_tokens(kind: KindSheet, rng: random.Random) -> int:
    return max(1, round(_draw_around(kind.own_tokens, rng)))


def _draw_around(mean: float, rng: random.Random) -> float:
    """Draw from a log-normal distribution with this mean."""
    return rng.lognormvariate(math.log(mean) - _SPREAD**2 / 2, _SPREAD)
