"""Let a test tell a stand-in to misbehave."""

import asyncio

import msgspec
from aiohttp import web


class Faults:
    """
    Hold the faults in force, by name.

    Known to all stand-ins: `slow_ms` delays each call, `down` drops each
    connection, `fail` answers status 500, `lose_answer` drops the connection
    after the call took effect, `truncate` ends the answer early, `cross`
    answers with another request's identifier, `left` bounds how many calls
    are affected.
    """

    def __init__(self) -> None:
        self.active: dict[str, float] = {}
        self.calls = 0

    def add_to(self, application: web.Application) -> None:
        application.router.add_post('/faults', self._set)
        application.router.add_get('/calls', self._count)

    def has(self, name: str) -> bool:
        """Tell whether a fault hits this call, and use one of its hits up."""
        if not self.active.get(name, 0):
            return False
        left = self.active.get('left', 1)
        if left <= 0:
            return False
        if 'left' in self.active:
            self.active.update(left=left - 1)
        return True

    async def delay(self) -> None:
        self.calls += 1
        await asyncio.sleep(self.active.get('slow_ms', 0) / 1000)

    async def _set(self, request: web.Request) -> web.Response:
        self.active = msgspec.json.decode(await request.read())
        return web.Response()

    async def _count(self, _request: web.Request) -> web.Response:
        return web.json_response({'calls': self.calls})


def drop(request: web.Request) -> web.Response:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
