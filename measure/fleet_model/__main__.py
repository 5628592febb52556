"""Run scenarios and parameter sweeps of the fleet simulation."""

from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec

from measure.fleet_model.experiment import (
    Setting,
    Trial,
    bound_all,
    get_mean,
    play_all,
    play_records,
    read_load,
)
from measure.fleet_model.hosting import Hosting
from measure.fleet_model.patterns import make_patterns
from measure.fleet_model.pictures import draw_day
from measure.fleet_model.recorded_day import bound_recorded
from measure.fleet_model.rows import TableRow, print_rows
from ragworthollow.utils.message import Message

_OUT = Path('out')
_JOBS = 4
_SEEDS = 3

application = cyclopts.App(name='fleet-model', help=__doc__)
Load = Annotated[str, cyclopts.Parameter(help='Load sheet.')]
Seeds = Annotated[int, cyclopts.Parameter(help='Days of each pattern.')]
Jobs = Annotated[int, cyclopts.Parameter(help='Processes at a time.')]


class SavedTable(Message):
    """Hold the table that a command printed."""

    load: str
    rows: list[TableRow]


@application.command
def days(load: Load = 'kingston', seeds: Seeds = _SEEDS, jobs: Jobs = _JOBS):
    """Simulate every pattern and compare it with the clairvoyant bound."""
    rows = []
    for pattern in make_patterns(read_load(load)):
        trials = _make_trials(load, pattern, seeds)
        reports = play_all(trials, jobs)
        bounds = bound_all(trials, jobs)
        rows.append(
            TableRow(
                name=pattern,
                attained=get_mean(reports),
                bound=sum(bounds) / len(bounds),
                reports=reports,
            ),
        )
    _finish('days', load, rows)


@application.command
def hosting(load: Load = 'kingston', seeds: Seeds = _SEEDS, jobs: Jobs = _JOBS):
    """Compare hosting strategies of schedulers, also when a host fails."""
    rows = []
    patterns = ('calm', 'bursts', 'host-kill', 'host-freeze', 'host-cut')
    for pattern in patterns:
        for strategy in Hosting:
            trials = _make_trials(load, pattern, seeds, strategy)
            reports = play_all(trials, jobs)
            rows.append(
                TableRow(
                    name=f'{pattern}, {strategy}',
                    attained=get_mean(reports),
                    reports=reports,
                ),
            )
    _finish('hosting', load, rows)


@application.command
def sweep(
    name: str,
    *values: float,
    load: Load = 'kingston',
    seeds: Seeds = _SEEDS,
    jobs: Jobs = _JOBS,
):
    """
    Simulate every pattern with several values of a default setting.

    Parameters
    ----------
    name
        Name of the setting in `ragworthollow.conf.global_settings`.
    values
        Values of the setting, each simulated in turn.
    """
    rows = []
    for number in values:
        setting = Setting(name=name, value=number)
        trials = [
            trial
            for pattern in make_patterns(read_load(load))
            for trial in _make_trials(
                load,
                pattern,
                seeds,
                settings=(setting,),
            )
        ]
        reports = play_all(trials, jobs)
        rows.append(
            TableRow(
                name=f'{name}={number:g}',
                attained=get_mean(reports),
                reports=reports,
            ),
        )
    _finish(f'sweep-{name}', load, rows)


@application.command
def picture(
    pattern: str,
    load: Load = 'kingston',
    seed: int = 1,
    out: Path = _OUT,
):
    """Plot attainment, latency and pool utilisation of one day."""
    day = play_records(Trial(load=load, pattern=pattern, seed=seed))
    path = out / f'{load}-{pattern}-{seed}.png'
    out.mkdir(exist_ok=True)
    draw_day(day, path)
    print(path)


@application.command
def recorded(log: Path, load: Load = 'kingston'):
    """
    Compute an upper bound of attainment for a day logged by gateways.

    Parameters
    ----------
    log
        File with the concatenated log lines of all gateways.
    """
    print(f'{bound_recorded(read_load(load), log):.3f}')


def _make_trials(
    load: str,
    pattern: str,
    seeds: int,
    strategy: Hosting = Hosting.pool,
    settings: tuple[Setting, ...] = (),
) -> list[Trial]:
    return [
        Trial(
            load=load,
            pattern=pattern,
            seed=seed,
            hosting=strategy,
            settings=settings,
        )
        for seed in range(1, seeds + 1)
    ]


def _finish(name: str, load: str, rows: list[TableRow]) -> None:
    print_rows(rows)
    _OUT.mkdir(exist_ok=True)
    saved = SavedTable(load=load, rows=rows)
    path = _OUT / f'fleet-{name}-{load}.json'
    path.write_bytes(msgspec.json.format(msgspec.json.encode(saved)))
    print(path)


if __name__ == '__main__':
    application()
