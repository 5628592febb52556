"""Stand in for the platform's list of instances, which lags behind."""

import asyncio

import msgspec
from aiohttp import web

from tests.standins.faults import Faults, drop


class InstancesStandin:
    """Serve a list of instances whose changes become visible after a lag."""

    def __init__(self, *, lag_ms: float = 0) -> None:
        self.faults = Faults()
        self._lag_ms = lag_ms
        self._visible = b'{"revision":0,"instances":[]}'
        self._revision = 0

    def make_application(self) -> web.Application:
        application = web.Application()
        self.faults.add_to(application)
        application.router.add_get('/instances', self._get_instances)
        application.router.add_put('/instances', self._put_instances)
        return application

    async def _get_instances(self, request: web.Request) -> web.Response:
        if self.faults.has('down'):
            return drop(request)
        await self.faults.delay()
        tag = f'"{self._revision}"'
        if request.headers.get('If-None-Match') == tag:
            return web.Response(status=304)
        return web.Response(
            body=self._visible,
            content_type='application/json',
            headers={'ETag': tag},
        )

    async def _put_instances(self, request: web.Request) -> web.Response:
        instances = msgspec.json.decode(await request.read())
        delay = self._lag_ms / 1000 if self._revision else 0
        asyncio.get_running_loop().call_later(delay, self.publish, instances)
        return web.Response()

    def publish(self, instances: list) -> None:
        """Replace the list at once."""
        self._revision += 1
        self._visible = msgspec.json.encode(
            {'revision': self._revision, 'instances': instances},
        )
