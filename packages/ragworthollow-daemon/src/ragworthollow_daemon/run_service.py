"""Run one service on the loop of this process."""

import gc

import uvloop
from aiomisc import Service, entrypoint

from ragworthollow.conf import global_settings


def run_service(service: Service) -> None:
    """
    Run a service until its `serve` returns.

    Parameters
    ----------
    service : Service
        With a coroutine `serve` that ends when a signal asked for it.
    """
    # Most objects live for one request and die by reference count.
    gc.set_threshold(global_settings.COLLECTION_THRESHOLD)
    with entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        pool_size=1,
        log_config=False,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(service.serve())
