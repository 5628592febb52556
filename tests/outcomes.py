"""Judge the outcome of a test run from the report of behave."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

# Not `error`, which a step causes that raises an exception.
_ERROR_STATUSES = frozenset(('hook_error', 'cleanup_error'))


@dataclass(frozen=True, kw_only=True)
class TestOutcomes:
    """
    Hold what behave reported.

    Attributes
    ----------
    scenarios : mapping
        Whether each scenario passed, by its name.
    errors : tuple of str
        Hooks and fixtures that failed, by the feature or scenario that they
        belong to.
    """

    scenarios: Mapping[str, bool]
    errors: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Verdict:
    """
    Hold the result of a run.

    Attributes
    ----------
    passed : int
        Number of checks and scenarios that passed.
    known_failures, failures : tuple of str
        Failures that are listed as known, and all others.
    """

    passed: int
    known_failures: tuple[str, ...]
    failures: tuple[str, ...]


def read_outcomes(
    features: Sequence[Mapping],
    *,
    is_success: bool,
) -> TestOutcomes:
    """
    Collect scenarios, and errors outside of their steps.

    A feature whose fixture fails reports no scenarios, so that only the status
    of the feature shows the error.

    Parameters
    ----------
    features : sequence of mapping
        JSON report of behave.
    is_success : bool
        Whether behave exited with code 0.

    Returns
    -------
    TestOutcomes
        Includes an error if behave failed for a reason that its report lacks.
    """
    scenarios: dict[str, bool] = {}
    errors: list[str] = []
    for feature in features:
        if feature.get('status') in _ERROR_STATUSES:
            errors.append(f'{feature["name"]}: fixture or hook')
        for scenario in feature.get('elements', ()):
            if scenario['type'] != 'scenario':
                continue
            name = (
                f'{feature["name"]}: {scenario["name"]} '
                f'({scenario["location"]})'
            )
            status = scenario.get('status')
            scenarios[name] = status == 'passed'
            if status in _ERROR_STATUSES:
                errors.append(f'{name}: fixture or hook')
    if not is_success and all(scenarios.values()) and not errors:
        errors.append('behave itself')
    return TestOutcomes(scenarios=scenarios, errors=tuple(errors))


def merge_outcomes(parts: Iterable[TestOutcomes]) -> TestOutcomes:
    """Return the outcomes of several runs of behave as those of one."""
    scenarios: dict[str, bool] = {}
    errors: list[str] = []
    for part in parts:
        scenarios.update(part.scenarios)
        errors.extend(part.errors)
    return TestOutcomes(scenarios=scenarios, errors=tuple(errors))


def judge(
    checks: Mapping[str, bool],
    tests: TestOutcomes,
    known_red: Sequence[str],
) -> Verdict:
    """
    Separate known failures from all others.

    Parameters
    ----------
    checks : mapping
        Whether each check passed, by its command.
    tests : TestOutcomes
        Report of behave.
    known_red : sequence of str
        Parts of the names of scenarios that are known to fail.

    Returns
    -------
    Verdict
        Errors of hooks and fixtures are never known failures, since the
        scenarios that they belong to did not run.
    """
    failed_checks = [
        name for name, is_passed in checks.items() if not is_passed
    ]
    failed_tests = [
        name for name, is_passed in tests.scenarios.items() if not is_passed
    ]
    known_failures = [
        name
        for name in failed_tests
        if any(known in name for known in known_red)
    ]
    unexpected = [name for name in failed_tests if name not in known_failures]
    return Verdict(
        passed=sum(checks.values()) + sum(tests.scenarios.values()),
        known_failures=tuple(known_failures),
        failures=(*failed_checks, *unexpected, *tests.errors),
    )
