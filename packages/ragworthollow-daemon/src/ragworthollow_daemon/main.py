"""Command line of `ragworthd`."""

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from result import Err

from ragworthollow import __version__
from ragworthollow.checks import render_messages
from ragworthollow.conf import GatewaySettings
from ragworthollow.conf.loading import load_settings
from ragworthollow.logs import set_up_logging
from ragworthollow_daemon.daemon_service import DaemonService
from ragworthollow_daemon.gateway.launch import run_gateway
from ragworthollow_daemon.run_service import run_service

_USAGE_ERROR = 2

app = App(
    name='ragworthd',
    help='Run one process of ragworthollow: an entry, which receives'
    " callers' requests, or a sidecar, which runs beside one upstream"
    ' instance and limits its requests.',
    version=__version__,
)


@app.default
def run(
    *,
    settings: Annotated[Path, Parameter(help='YAML settings of this process.')],
    check: Annotated[
        bool,
        Parameter(help='Check the settings and exit.', negative=''),
    ] = False,
) -> None:
    """
    Run until SIGTERM, which shuts down gracefully; a second one exits at once.

    Exit codes: 0 shut down gracefully, 1 aborted by a second signal,
    2 invalid settings.
    """
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{render_messages([loaded.err_value])}\n')
        sys.exit(_USAGE_ERROR)
    if check:
        sys.stdout.write('settings are valid\n')
        return
    if isinstance(loaded.ok_value, GatewaySettings):
        run_gateway(loaded.ok_value)
        return
    set_up_logging(instance=loaded.ok_value.instance)
    run_service(DaemonService(settings=loaded.ok_value))


def main() -> None:
    """Run the command-line application."""
    app()
