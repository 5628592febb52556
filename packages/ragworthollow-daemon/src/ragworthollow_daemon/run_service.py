"""Run a service on the event loop of this process."""

import gc

import uvloop
from aiomisc import Service, entrypoint

from ragworthollow.conf import global_settings


def run_service(service: Service) -> None:
    """
    Run a service until its `serve` coroutine returns.

    Parameters
    ----------
    service : Service
        Its `serve` coroutine returns after a signal has requested shutdown.
    """
    # Most objects live for one request and are freed by reference counting,
    # so the cyclic garbage collector can run rarely.
    gc.set_threshold(global_settings.COLLECTION_THRESHOLD)
    with entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        pool_size=1,
        log_config=False,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(service.serve())
