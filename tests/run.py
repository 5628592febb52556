"""
Run all checks and tests, and print a summary line at the end.

Failures listed in KNOWN-RED.txt are printed but do not fail the run.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

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


def run_features() -> dict[str, bool]:
    """Run behave and return whether each scenario passed."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        completed = subprocess.run(
            [
                str(_BIN / 'behave'),
                *sys.argv[1:],
                '--format=progress2',
                '--format=json',
                '--outfile=/dev/stdout',
                f'--outfile={report}',
            ],
            cwd=_ROOT,
            check=False,
        )
        features = json.loads(report.read_text() or '[]')
    outcomes = {
        f'{feature["name"]}: {scenario["name"]} ({scenario["location"]})': (
            scenario.get('status') == 'passed'
        )
        for feature in features
        for scenario in feature.get('elements', ())
        if scenario['type'] == 'scenario'
    }
    _print_failures(features)
    if completed.returncode and all(outcomes.values()):
        # A hook or a fixture failed outside of all scenarios.
        outcomes['behave itself'] = False
    return outcomes


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
    lines = _KNOWN_RED.read_text().splitlines()
    return [line.split(';')[0].strip() for line in lines if line.strip()]


def main() -> None:
    outcomes = {' '.join(command): run_check(command) for command in _CHECKS}
    outcomes.update(run_features())
    known_red = read_known_red()
    failed = [name for name, is_passed in outcomes.items() if not is_passed]
    known_failures = [
        name for name in failed if any(known in name for known in known_red)
    ]
    for name in known_failures:
        print(f'KNOWN RED: {name}')
    unexpected = [name for name in failed if name not in known_failures]
    for name in unexpected:
        print(f'FAILED: {name}')
    passed = len(outcomes) - len(failed)
    print(f'{passed} passed, {len(unexpected)} failed', flush=True)
    sys.exit(1 if unexpected else 0)


if __name__ == '__main__':
    main()
