"""Give other processes the configuration in force."""

import asyncio

import msgspec
from aiohttp import web

from ragworthollow.conf import global_settings
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils.message import Message
from ragworthollow_daemon.process_context import ProcessContext

_MILLISECONDS = 1000


class Announcement(Message):
    """
    Tell a watcher of a generation that was just accepted.

    Attributes
    ----------
    generation : int
        The new one.
    address : str
        Process that holds it.
    """

    generation: int
    address: str


class ConfigurationRoutes:
    """
    Serve the configuration to peers.

    Parameters
    ----------
    context : ProcessContext
        Of this process.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context
        self._changed = asyncio.Event()
        context.store.listen(self._wake)

    def add_to(self, application: web.Application) -> None:
        """Add the routes."""
        application.router.add_get('/v1/configuration', self.get_newer)
        application.router.add_post(
            '/v1/configuration/announcements',
            self.apply_announcement,
        )

    async def get_newer(self, request: web.Request) -> web.Response:
        """Answer as soon as something newer is in force, or with nothing."""
        try:
            have = int(request.query['have'])
            wait_ms = int(request.query['wait_ms'])
        except (KeyError, ValueError):
            return respond(Problem(error='have and wait_ms'), status=400)
        store = self._context.store
        if store.generation <= have:
            await self._wait(
                min(wait_ms, global_settings.CONFIGURATION_WAIT_MS)
            )
        if store.generation <= have:
            return web.Response(status=204)
        return respond(store.get_snapshot(have))

    async def apply_announcement(self, request: web.Request) -> web.Response:
        """Fetch a generation from the process that has just accepted it."""
        try:
            announcement = msgspec.json.decode(
                await request.read(),
                type=Announcement,
            )
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=400)
        if announcement.generation > self._context.store.generation:
            await self._context.follower.pull(announcement.address, wait_ms=0)
        return web.Response(status=204)

    async def _wait(self, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / _MILLISECONDS):
                await self._changed.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
