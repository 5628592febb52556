"""Assemble the entry role."""

import asyncio

from aiohttp import web

from ragworthollow_daemon.entry.operator_routes import OperatorRoutes
from ragworthollow_daemon.entry.pipeline_runner import PipelineRunner
from ragworthollow_daemon.entry.pool_router import PoolRouter
from ragworthollow_daemon.entry.request_routes import RequestRoutes
from ragworthollow_daemon.entry.request_validator import RequestValidator
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.shutdown_limit import ShutdownLimit

_MILLISECONDS = 1000


class EntryRole:
    """
    Serve callers and operators.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context
        self._pools = PoolRouter(context=context)

    def add_to(self, application: web.Application) -> None:
        """Add the routes of the role."""
        RequestRoutes(
            context=self._context,
            validator=RequestValidator(
                instance=self._context.settings.instance,
                store=self._context.store,
            ),
            runner=PipelineRunner(context=self._context, pools=self._pools),
        ).add_to(application)
        OperatorRoutes(context=self._context).add_to(application)

    async def start(self) -> None:
        """Start the background tasks."""
        self._context.spawn(self._pools.run())

    async def leave(self, limit: ShutdownLimit) -> None:
        """
        Wait for the load balancer to stop sending.

        The load balancer polls readiness at intervals, so that requests
        keep arriving for a while after the first negative response. They
        are served normally.

        Parameters
        ----------
        limit : ShutdownLimit
            Limit of the whole stop.
        """
        lag_ms = self._context.settings.balancer_lag_ms
        await asyncio.sleep(
            min(lag_ms, limit.get_remaining_ms()) / _MILLISECONDS,
        )

    async def end(self, limit: ShutdownLimit) -> None:
        """Do nothing: an entry holds nothing that others wait for."""
