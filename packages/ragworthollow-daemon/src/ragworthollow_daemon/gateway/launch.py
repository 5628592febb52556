"""Run a gateway from its settings, importing as little as possible."""

import sys
from pathlib import Path

from result import Err

from ragworthollow.checks import render_messages
from ragworthollow.conf import GatewaySettings
from ragworthollow.conf.loading import load_settings
from ragworthollow.logs import set_up_logging
from ragworthollow_daemon.gateway.service import GatewayService
from ragworthollow_daemon.run_service import run_service

_USAGE_ERROR = 2


def run_gateway(settings: GatewaySettings) -> None:
    """
    Run until SIGTERM, which triggers a graceful shutdown.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    """
    set_up_logging(instance=settings.instance)
    run_service(GatewayService(settings=settings))


def run_from_file(path: Path) -> None:
    """
    Load the settings and run a gateway; exit with 2 if they are invalid.

    Parameters
    ----------
    path : Path
        Path of the YAML settings file.
    """
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{render_messages([loaded.err_value])}\n')
        sys.exit(_USAGE_ERROR)
    if not isinstance(loaded.ok_value, GatewaySettings):
        sys.stderr.write(f'{path}: role must be gateway\n')
        sys.exit(_USAGE_ERROR)
    run_gateway(loaded.ok_value)
