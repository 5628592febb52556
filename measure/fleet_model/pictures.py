"""Draw a day."""

from pathlib import Path

from matplotlib.figure import Figure

from measure.fleet_model.day import Day
from measure.fleet_model.outcome import get_value

_STEP_MS = 1_000
_SIZE_INCHES = (10, 9)


def draw_day(day: Day, path: Path) -> None:
    """
    Draw attainment, time to the first event and pool use over a day.

    Parameters
    ----------
    day : Day
        Played.
    path : Path
        Where the picture goes.
    """
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    attained, waited, used = figure.subplots(3, sharex=True)
    _draw_attained(day, attained)
    _draw_waited(day, waited)
    _draw_used(day, used)
    used.set_xlabel('seconds')
    figure.savefig(path)


def _draw_attained(day: Day, axes) -> None:
    for kind in day.sheet.kinds:
        owed: dict[int, float] = {}
        earned: dict[int, float] = {}
        for one in day.records:
            if one.arrival.kind == kind:
                step = int(one.arrival.at_ms // _STEP_MS)
                worth = day.sheet.kinds[kind].worth
                owed[step] = owed.get(step, 0) + worth
                earned[step] = earned.get(step, 0) + get_value(day.sheet, one)
        steps = sorted(owed)
        axes.plot(steps, [earned[step] / owed[step] for step in steps])
    axes.legend(list(day.sheet.kinds))
    axes.set_ylabel('worth attained')


def _draw_waited(day: Day, axes) -> None:
    for kind in day.sheet.kinds:
        served = [
            one
            for one in day.records
            if one.arrival.kind == kind and one.took_ms is not None
        ]
        axes.scatter(
            [one.arrival.at_ms / _STEP_MS for one in served],
            [one.took_ms for one in served],
            s=6,
        )
    axes.set_ylabel('ms to the first event')


def _draw_used(day: Day, axes) -> None:
    for pool, sheet in day.sheet.pools.items():
        busy = day.get_busy_ms(pool, _STEP_MS)
        axes.plot(
            range(len(busy)),
            [one / (_STEP_MS * sheet.instances) for one in busy],
        )
    axes.legend(list(day.sheet.pools))
    axes.set_ylabel('share of a pool at work')
