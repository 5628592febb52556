"""Start and end the processes of a test fleet."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from measure.fleet_plan import ROOT

_STEP_S = 0.02


def _make_python_path() -> str:
    """Put the root before the path of this process, which a worktree sets."""
    inherited = os.environ.get('PYTHONPATH', '')
    return os.pathsep.join(filter(None, (str(ROOT), inherited)))


class Processes:
    """
    Own child processes; each is ended by its id.

    Parameters
    ----------
    folder : Path
        Where their logs go.
    """

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self._running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *command: str) -> subprocess.Popen:
        with (self._folder / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, 'PYTHONPATH': _make_python_path()},
            )
        self._running[name] = process
        return process

    def start_standins(self, name: str, specification: Path) -> None:
        self.start(
            name,
            sys.executable,
            '-m',
            'tests.standins',
            str(specification),
        )

    def start_daemon(self, name: str, settings: Path) -> None:
        daemon = Path(sys.executable).parent / 'ragworthd'
        self.start(name, str(daemon), '--settings', str(settings))

    def is_running(self, name: str) -> bool:
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def send(self, name: str, number: signal.Signals) -> None:
        if self.is_running(name):
            self._running[name].send_signal(number)

    def wait(self, name: str, limit_s: float) -> int | None:
        """Return the exit code; None when it still runs at the limit."""
        try:
            return self._running[name].wait(limit_s)
        except subprocess.TimeoutExpired:
            return None

    def get_pid(self, name: str) -> int:
        return self._running[name].pid

    def get_names(self) -> list[str]:
        return list(self._running)

    def read_log(self, name: str) -> str:
        return (self._folder / f'{name}.log').read_text()

    def end_all(self, limit_s: float = 10) -> None:
        """End everything: first kindly, then for certain."""
        for process in self._running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + limit_s
        for process in self._running.values():
            while process.poll() is None and time.monotonic() < end:
                time.sleep(_STEP_S)
            if process.poll() is None:
                process.kill()
                process.wait()
