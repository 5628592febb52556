"""Serve the active configuration to other processes."""

import asyncio

import msgspec
from aiohttp import web

from ragworthollow.conf import global_settings
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils import HostAddress, decode_json, parse_count
from ragworthollow.utils.message import Message
from ragworthollow_daemon.process_context import ProcessContext

_MILLISECONDS = 1000


class Announcement(Message):
    """
    Notify a watcher of a newly accepted generation.

    Attributes
    ----------
    generation : int
        Number of the new generation.
    address : HostAddress
        Address of a process that has the generation.
    """

    generation: int
    address: HostAddress


class ConfigurationRoutes:
    """
    Serve the configuration to other processes.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context
        self._changed = asyncio.Event()
        self._is_closing = False
        context.store.add_listener(self._notify_waiters)

    def add_to(self, application: web.Application) -> None:
        """Add the routes to an application."""
        application.router.add_get('/v1/configuration', self.get_newer)
        application.router.add_post(
            '/v1/configuration/announcements',
            self.apply_announcement,
        )
        application.on_shutdown.append(self._release_waiters)

    async def get_newer(self, request: web.Request) -> web.Response:
        """Return a newer generation, or status 204 after a long poll."""
        have = parse_count(request.query.get('have', ''))
        wait_ms = parse_count(request.query.get('wait_ms', ''))
        if have is None or wait_ms is None:
            return respond(Problem(error='have and wait_ms'), status=400)
        store = self._context.store
        if store.generation <= have and not self._is_closing:
            await self._wait_for_change(
                min(wait_ms, global_settings.CONFIGURATION_WAIT_MS)
            )
        if store.generation <= have:
            return web.Response(status=204)
        return respond(store.get_snapshot(have))

    async def apply_announcement(self, request: web.Request) -> web.Response:
        """Fetch an announced generation from the process that has it."""
        try:
            announcement = decode_json(
                await request.read(),
                Announcement,
            )
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=400)
        if announcement.generation > self._context.store.generation:
            await self._context.follower.pull(announcement.address, wait_ms=0)
        return web.Response(status=204)

    async def _wait_for_change(self, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / _MILLISECONDS):
                await self._changed.wait()
        except TimeoutError:
            return

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _release_waiters(self, _application: web.Application) -> None:
        """Respond to long polls, which must not delay an exit."""
        self._is_closing = True
        self._notify_waiters()
