"""Simulate many days in parallel."""

import statistics
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec
import yaml
from absl import logging

from measure.fleet_model.arrivals import draw_arrivals
from measure.fleet_model.bound import compute_bound, make_capacity_intervals
from measure.fleet_model.day import Day
from measure.fleet_model.hosting import Hosting
from measure.fleet_model.load_sheet import LoadSheet
from measure.fleet_model.outcome import DayReport
from measure.fleet_model.patterns import DAY_DURATION_MS, make_patterns
from ragworthollow.conf import global_settings

_LOADS = Path(__file__).parent / 'loads'


@dataclass(frozen=True, kw_only=True, slots=True)
class Setting:
    """Override the value of a default in `global_settings`."""

    name: str
    value: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Trial:
    """
    Describe one day to simulate.

    Attributes
    ----------
    load : str
        Name of a load sheet.
    pattern : str
        Name of a pattern.
    seed : int
        Seed of all random number generators.
    hosting : Hosting
        Strategy that assigns the schedulers of pools to gateways.
    settings : tuple of Setting
        Overridden defaults.
    saves_space : bool or None
        Whether gateways save space for results; None if the sheet decides.
    """

    load: str
    pattern: str
    seed: int
    hosting: Hosting = Hosting.pool
    settings: tuple[Setting, ...] = ()
    saves_space: bool | None = None


def read_load(name: str) -> LoadSheet:
    """
    Read a load sheet that is part of this package.

    Raises
    ------
    msgspec.ValidationError
        The file does not match the schema of a load sheet.
    """
    text = (_LOADS / f'{name}.yaml').read_text()
    return msgspec.convert(yaml.safe_load(text), LoadSheet)


def play_all(trials: Sequence[Trial], jobs: int) -> list[DayReport]:
    """Simulate trials in a pool of `jobs` worker processes."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(simulate, trials))


def simulate(trial: Trial) -> DayReport:
    """Simulate a trial in this process and return its report."""
    with _override_settings(trial.settings), _suppress_logs():
        return _make_day(trial).simulate()


def play_records(trial: Trial) -> Day:
    """Simulate a trial and return the day with its request records."""
    with _override_settings(trial.settings), _suppress_logs():
        day = _make_day(trial)
        day.simulate()
    return day


def compute_trial_bound(trial: Trial) -> float:
    """Return the upper bound of attainment for the day of a trial."""
    sheet = read_load(trial.load)
    pattern = make_patterns(sheet)[trial.pattern]
    arrivals = draw_arrivals(sheet, pattern, DAY_DURATION_MS, trial.seed)
    return compute_bound(
        sheet, make_capacity_intervals(sheet, pattern), arrivals
    )


def bound_all(trials: Sequence[Trial], jobs: int) -> list[float]:
    """Compute the bounds of trials in a pool of `jobs` worker processes."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(compute_trial_bound, trials))


def get_mean(reports: Sequence[DayReport]) -> float:
    """Return the mean attained share of worth."""
    return statistics.mean(report.attained for report in reports)


@contextmanager
def _suppress_logs() -> Iterator[None]:
    """Log errors only; a trial has thousands of simulated requests."""
    previous = logging.get_verbosity()
    logging.set_verbosity(logging.ERROR)
    try:
        yield
    finally:
        logging.set_verbosity(previous)


@contextmanager
def _override_settings(settings: Sequence[Setting]) -> Iterator[None]:
    """Override defaults for the duration of the context."""
    for setting in settings:
        if not hasattr(global_settings, setting.name):
            raise ValueError(f'unknown setting: {setting.name}')
    previous = {
        override.name: getattr(global_settings, override.name)
        for override in settings
    }
    for setting in settings:
        setattr(global_settings, setting.name, setting.value)
    try:
        yield
    finally:
        for name, default in previous.items():
            setattr(global_settings, name, default)


def _make_day(trial: Trial) -> Day:
    sheet = read_load(trial.load)
    if trial.saves_space is not None:
        sheet = msgspec.structs.replace(
            sheet, scarce_result_space=trial.saves_space
        )
    return Day(
        sheet=sheet,
        pattern=make_patterns(sheet)[trial.pattern],
        hosting=trial.hosting,
        seed=trial.seed,
    )
