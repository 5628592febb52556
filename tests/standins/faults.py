"""Inject faults into stand-ins."""

import asyncio

import msgspec
from aiohttp import web


class Faults:
    """
    Hold the active faults by name.

    Common to all stand-ins: `slow_ms` delays each call, `down` drops each
    connection, `fail` responds with status 500, `lose_answer` drops the
    connection after the call took effect, `truncate` ends the response early,
    `cross` responds with the identifier of another request, and `left` limits
    how many calls are affected.
    """

    def __init__(self) -> None:
        self.active: dict[str, float] = {}
        self.calls = 0

    def add_to(self, application: web.Application) -> None:
        application.router.add_post('/faults', self._set_faults)
        application.router.add_get('/calls', self._get_calls)

    def has(self, name: str) -> bool:
        """Tell whether a fault applies to this call; use up one of `left`."""
        if not self.active.get(name, 0):
            return False
        remaining = self.active.get('left', 1)
        if remaining <= 0:
            return False
        if 'left' in self.active:
            self.active.update(left=remaining - 1)
        return True

    async def delay(self) -> None:
        self.calls += 1
        await asyncio.sleep(self.active.get('slow_ms', 0) / 1000)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.active = msgspec.json.decode(await request.read())
        return web.Response()

    async def _get_calls(self, _request: web.Request) -> web.Response:
        return web.json_response({'calls': self.calls})


def drop(request: web.Request) -> web.Response:
    """Close the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
