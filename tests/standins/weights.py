"""Stand in for the weight store."""

import asyncio
import time

from aiohttp import web

from tests.standins.faults import Faults


class WeightsStandin:
    """Serve weights, and refuse loads beyond a limit per minute."""

    def __init__(self, *, loads_per_minute: int = 600, load_ms: float = 20):
        self.faults = Faults()
        self._limit = loads_per_minute
        self._load_ms = load_ms
        self._times: list[float] = []
        self._refused = 0

    def make_application(self) -> web.Application:
        application = web.Application()
        self.faults.add_to(application)
        application.router.add_get('/weights/{model}', self._get)
        application.router.add_get('/counts', self._get_counts)
        return application

    async def _get(self, _request: web.Request) -> web.Response:
        now = time.monotonic()
        self._times = [time_s for time_s in self._times if now - time_s < 60]
        if len(self._times) >= self._limit:
            self._refused += 1
            return web.Response(status=429)
        self._times.append(now)
        await asyncio.sleep(self._load_ms / 1000)
        return web.Response(text='weights')

    async def _get_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {'served': len(self._times), 'refused': self._refused},
        )
