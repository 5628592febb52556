"""Plot a simulated day."""

from pathlib import Path

from matplotlib.figure import Figure

from measure.fleet_model.day import Day
from measure.fleet_model.outcome import get_earned_worth

_STEP_MS = 1_000
_SIZE_INCHES = (10, 9)


def draw_day(day: Day, path: Path) -> None:
    """
    Plot attainment, time to the first event and pool utilisation of a day.

    Parameters
    ----------
    day : Day
        Simulated day.
    path : Path
        Output file.
    """
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    attained, latency, pool_use = figure.subplots(3, sharex=True)
    _draw_attained(day, attained)
    _draw_latency(day, latency)
    _draw_pool_use(day, pool_use)
    pool_use.set_xlabel('seconds')
    figure.savefig(path)


def _draw_attained(day: Day, axes) -> None:
    for kind in day.sheet.kinds:
        possible: dict[int, float] = {}
        earned: dict[int, float] = {}
        for record in day.records:
            if record.arrival.kind == kind:
                step = int(record.arrival.at_ms // _STEP_MS)
                worth = day.sheet.kinds[kind].worth
                possible[step] = possible.get(step, 0) + worth
                earned[step] = earned.get(step, 0) + get_earned_worth(
                    day.sheet, record
                )
        steps = sorted(possible)
        axes.plot(steps, [earned[step] / possible[step] for step in steps])
    axes.legend(list(day.sheet.kinds))
    axes.set_ylabel('worth attained')


def _draw_latency(day: Day, axes) -> None:
    for kind in day.sheet.kinds:
        served = [
            record
            for record in day.records
            if record.arrival.kind == kind and record.took_ms is not None
        ]
        axes.scatter(
            [record.arrival.at_ms / _STEP_MS for record in served],
            [record.took_ms for record in served],
            s=6,
        )
    axes.set_ylabel('ms to the first event')


def _draw_pool_use(day: Day, axes) -> None:
    for pool, sheet in day.sheet.pools.items():
        busy_by_step = day.get_busy_ms(pool, _STEP_MS)
        axes.plot(
            range(len(busy_by_step)),
            [
                busy_ms / (_STEP_MS * sheet.instances)
                for busy_ms in busy_by_step
            ],
        )
    axes.legend(list(day.sheet.pools))
    axes.set_ylabel('share of a pool at work')
