"""
Run all checks and tests, and print a summary line at the end.

Failed scenarios listed in KNOWN-RED.txt are printed but do not fail the run.
Errors of hooks and fixtures always fail it.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.outcomes import TestOutcomes, judge, read_outcomes

_ROOT = Path(__file__).resolve().parent.parent
_BIN = Path(sys.executable).parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_CODE = ('packages', 'tests', 'measure')
# Fits the last stack frames and the records of twenty requests.
_MAX_MESSAGE_CHARS = 8_000
_CHECKS = (
    ('ruff', 'format', '--check', '--quiet', *_CODE),
    ('ruff', 'check', '--quiet', *_CODE),
    ('flake8', *_CODE),
    ('ragworthctl', 'check', 'deployments/kingston/configuration'),
    ('ragworthctl', 'check', 'deployments/riga/configuration'),
)


def run_check(command: tuple[str, ...]) -> bool:
    completed = subprocess.run(
        [str(_BIN / command[0]), *command[1:]],
        cwd=_ROOT,
        check=False,
    )
    print(
        'passed' if completed.returncode == 0 else 'FAILED',
        *command,
        flush=True,
    )
    return completed.returncode == 0


def run_features(*arguments: str) -> TestOutcomes:
    """Run behave with further arguments, such as paths of feature files."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        completed = subprocess.run(
            [
                str(_BIN / 'behave'),
                *arguments,
                '--format=progress2',
                '--format=json',
                '--outfile=/dev/stdout',
                f'--outfile={report}',
            ],
            cwd=_ROOT,
            check=False,
        )
        features = json.loads(report.read_text() or '[]')
    _print_failures(features)
    return read_outcomes(features, is_success=not completed.returncode)


def _print_failures(features: list[dict]) -> None:
    """
    Print the error messages of failed scenarios after all other output.

    The processes of a fleet write long output, of which a truncated log
    keeps only the end. Printed here, the cause of an intermittent failure
    is not lost.
    """
    for feature in features:
        for scenario in feature.get('elements', ()):
            for step in scenario['steps']:
                outcome = step.get('result', {})
                if outcome.get('status') in {'failed', 'error'}:
                    message = '\n'.join(outcome.get('error_message', ()))
                    print(f'{scenario["location"]} {step["name"]}')
                    print(message[-_MAX_MESSAGE_CHARS:], flush=True)


def read_known_red() -> list[str]:
    if not _KNOWN_RED.exists():
        return []
    names = [
        line.split(';')[0].strip()
        for line in _KNOWN_RED.read_text().splitlines()
    ]
    return [name for name in names if name]


def main() -> None:
    checks = {' '.join(command): run_check(command) for command in _CHECKS}
    tests = run_features(*sys.argv[1:])
    verdict = judge(checks, tests, read_known_red())
    for name in verdict.known_failures:
        print(f'KNOWN RED: {name}')
    for name in verdict.failures:
        print(f'FAILED: {name}')
    failed = len(verdict.failures)
    print(f'{verdict.passed} passed, {failed} failed', flush=True)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
