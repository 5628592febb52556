"""Stand in for a model engine."""

import asyncio
from collections import OrderedDict

import msgspec
from aiohttp import ClientSession, web

from tests.standins.faults import Faults, drop
from tests.standins.pool import find_subject

_MAX_CACHED_PREFIXES = 8


class EngineStandin:
    """
    Batch continuously, cache prefixes, resume, cancel and execute orders.

    Every token names the subject of its prompt, so that tests detect responses
    that were swapped between requests or joined from several.
    """

    def __init__(
        self,
        *,
        name: str,
        batch: int = 8,
        token_ms: float = 2,
        prefill_ms: float = 6,
        checks_fencing: bool = True,
        weights_url: str = '',
        models: tuple[str, ...] = (),
        load_lag_ms: float = 500,
    ) -> None:
        self.faults = Faults()
        self._name = name
        self._token_ms = token_ms
        self._prefill_ms = prefill_ms
        self._checks_fencing = checks_fencing
        self._weights_url = weights_url
        self._load_lag_ms = load_lag_ms
        self._models: dict[str, str] = dict.fromkeys(models, '')
        self._waiting = asyncio.PriorityQueue()
        self._free_slots = batch
        self._batch = batch
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._fence = 0
        self._orders: list[dict] = []
        self._cache_events: list[dict] = []
        self._last_number = 0
        self._counts = {'done': 0, 'cancelled': 0, 'hits': 0, 'misses': 0}
        self._load = {'running': 0, 'waiting': 0}

    def make_application(self) -> web.Application:
        application = web.Application()
        self.faults.add_to(application)
        router = application.router
        router.add_post('/v1/completions', self._complete)
        router.add_post('/v1/orders', self._handle_order)
        router.add_get('/v1/load', self._get_load)
        router.add_get('/v1/cache_events', self._get_cache_events)
        router.add_get('/v1/models', self._get_models)
        router.add_get('/counts', self._get_counts)
        return application

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        if self.faults.has('down'):
            return drop(request)
        if self.faults.has('fail'):
            return web.Response(status=500, text='told to fail')
        if body['model'] not in self._models:
            return web.Response(status=409, text='model is not loaded')
        await self._acquire_slot(body.get('priority', 1))
        self._schedule_load_update()
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'},
        )
        try:
            await response.prepare(request)
            await self._prefill(body)
            await self._generate(request, response, body)
        except (asyncio.CancelledError, ConnectionError):
            self._counts['cancelled'] += 1
            raise
        finally:
            self._release_slot()
            self._schedule_load_update()
        return response

    async def _generate(
        self,
        request: web.Request,
        response: web.StreamResponse,
        body: dict,
    ) -> None:
        subject = find_subject(body['prompt'])
        length = body['max_tokens']
        for index in range(body.get('resume_offset', 0), length):
            await asyncio.sleep(self._token_ms / 1000)
            await self.faults.delay()
            if index == length // 2 and self.faults.has('truncate'):
                drop(request)
                return
            request_id = body['user']
            if self.faults.has('cross'):
                request_id = f'other-{request_id}'
            chunk = {
                'id': request_id,
                'choices': [
                    {
                        'text': f'{subject}#{index} ',
                        'index': index,
                        'finish_reason': (
                            'length' if index == length - 1 else None
                        ),
                    },
                ],
            }
            line = f'data: {msgspec.json.encode(chunk).decode()}\n\n'
            await response.write(line.encode())
        await response.write(b'data: [DONE]\n\n')
        self._counts['done'] += 1

    async def _prefill(self, body: dict) -> None:
        prefix = f'{body["cache_salt"]}/{body["model"]}/{body["adapter"]}'
        if prefix in self._prefixes:
            self._counts['hits'] += 1
            self._prefixes.move_to_end(prefix)
            return
        self._counts['misses'] += 1
        self._prefixes[prefix] = None
        self._cache_events.append({'stored': prefix})
        if len(self._prefixes) > _MAX_CACHED_PREFIXES:
            evicted, _ = self._prefixes.popitem(last=False)
            self._cache_events.append({'removed': evicted})
        await asyncio.sleep(self._prefill_ms / 1000)

    async def _acquire_slot(self, priority: float) -> None:
        if self._free_slots:
            self._free_slots -= 1
            return
        self._last_number += 1
        start_signal = asyncio.get_running_loop().create_future()
        self._waiting.put_nowait((-priority, self._last_number, start_signal))
        await start_signal

    def _release_slot(self) -> None:
        while not self._waiting.empty():
            start_signal = self._waiting.get_nowait()[-1]
            if not start_signal.done():
                start_signal.set_result(None)
                return
        self._free_slots += 1

    def _schedule_load_update(self) -> None:
        current_load = {
            'running': self._batch - self._free_slots,
            'waiting': self._waiting.qsize(),
        }
        asyncio.get_running_loop().call_later(
            self._load_lag_ms / 1000,
            self._load.update,
            current_load,
        )

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read())
        if self.faults.has('down'):
            return drop(request)
        fence = order['fence']
        if self._checks_fencing and fence < self._fence:
            return web.json_response({'fence': self._fence}, status=412)
        await self.faults.delay()
        self._fence = max(self._fence, fence)
        self._orders.append(order)
        model, version = order['model'], order['version']
        if order['action'] == 'unload':
            self._models.pop(model, None)
            return web.json_response({})
        if not await self._fetch(model):
            return web.Response(status=503, text='weight store refused')
        self._models[model] = version
        return web.json_response({})

    async def _fetch(self, model: str) -> bool:
        if not self._weights_url:
            return True
        url = f'{self._weights_url}/weights/{model}'
        async with ClientSession() as session:
            async with session.get(url) as response:
                return response.status == 200

    async def _get_load(self, _request: web.Request) -> web.Response:
        return web.json_response(self._load)

    async def _get_cache_events(self, _request: web.Request) -> web.Response:
        # Late and incomplete: leaves out the newest and every fifth event.
        visible_events = [
            event
            for number, event in enumerate(self._cache_events[:-1])
            if number % 5
        ]
        return web.json_response(visible_events)

    async def _get_models(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {'models': self._models, 'orders': self._orders},
        )

    async def _get_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(self._counts)
