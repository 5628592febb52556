"""Stand in for the platform's lagging list of instances."""

import asyncio

import msgspec
from aiohttp import web

from tests.standins.faults import Faults, drop


class InstancesStandin:
    """Show changes only after a lag."""

    def __init__(self, *, lag_ms: float = 0) -> None:
        self.faults = Faults()
        self._lag_ms = lag_ms
        self._shown = b'{"revision":0,"instances":[]}'
        self._revision = 0

    def make_application(self) -> web.Application:
        application = web.Application()
        self.faults.add_to(application)
        application.router.add_get('/instances', self._get)
        application.router.add_put('/instances', self._put)
        return application

    async def _get(self, request: web.Request) -> web.Response:
        if self.faults.has('down'):
            return drop(request)
        await self.faults.delay()
        tag = f'"{self._revision}"'
        if request.headers.get('If-None-Match') == tag:
            return web.Response(status=304)
        return web.Response(
            body=self._shown,
            content_type='application/json',
            headers={'ETag': tag},
        )

    async def _put(self, request: web.Request) -> web.Response:
        instances = msgspec.json.decode(await request.read())
        delay = self._lag_ms / 1000 if self._revision else 0
        asyncio.get_running_loop().call_later(delay, self._show, instances)
        return web.Response()

    def _show(self, instances: list) -> None:
        self._revision += 1
        self._shown = msgspec.json.encode(
            {'revision': self._revision, 'instances': instances},
        )
