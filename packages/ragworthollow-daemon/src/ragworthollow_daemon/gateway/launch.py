"""Run a gateway from its settings, with as few imports as it needs."""

import gc
import sys
from pathlib import Path

import uvloop
from aiomisc import entrypoint
from result import Err

from ragworthollow.checks import render_messages
from ragworthollow.conf import GatewaySettings, global_settings
from ragworthollow.conf.loading import load_settings
from ragworthollow.logs import set_up_logging
from ragworthollow_daemon.gateway.service import GatewayService

_USAGE_ERROR = 2


def run_gateway(settings: GatewaySettings) -> None:
    """
    Run until TERM, which stops gracefully.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    """
    set_up_logging(instance=settings.instance)
    # Most objects live for one request and die by reference count.
    gc.set_threshold(global_settings.COLLECTION_THRESHOLD)
    service = GatewayService(settings=settings)
    with entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        pool_size=1,
        log_config=False,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(service.serve())


def run_from_file(path: Path) -> None:
    """
    Load the settings of a gateway and run it; exit with 2 if they are bad.

    Parameters
    ----------
    path : Path
        The YAML file.
    """
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{render_messages([loaded.err_value])}\n')
        sys.exit(_USAGE_ERROR)
    if not isinstance(loaded.ok_value, GatewaySettings):
        sys.stderr.write(f'{path}: role must be gateway\n')
        sys.exit(_USAGE_ERROR)
    run_gateway(loaded.ok_value)
