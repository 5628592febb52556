"""Stand in for encoders, retrievers, rerankers and plain services."""

import asyncio

import msgspec
from aiohttp import web

from tests.standins.faults import Faults, drop


class PoolStandin:
    """
    Respond to each call with the subject of its input.

    Calls that name an operation are recorded as effects, so that tests can
    count them.
    """

    def __init__(self, *, name: str, service_ms: float) -> None:
        self.faults = Faults()
        self._name = name
        self._service_ms = service_ms
        self._effects: list[dict[str, str]] = []

    def make_application(self) -> web.Application:
        application = web.Application()
        self.faults.add_to(application)
        application.router.add_get('/effects', self._get_effects)
        for path in ('encode', 'retrieve', 'rerank', 'calls'):
            application.router.add_post(f'/v1/{path}', self._serve)
        return application

    async def _get_effects(self, _request: web.Request) -> web.Response:
        return web.json_response(self._effects)

    async def _serve(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        if self.faults.has('down'):
            return drop(request)
        if self.faults.has('fail'):
            return web.Response(status=500, text='told to fail')
        await self.faults.delay()
        subject = find_subject(body['input'])
        operation = body.get('operation', '')
        if operation:
            self._effects.append(
                {
                    'subject': subject,
                    'operation': operation,
                    'request_id': body['request_id'],
                    'instance': self._name,
                },
            )
        await asyncio.sleep(self._service_ms / 1000)
        if self.faults.has('lose_answer'):
            return drop(request)
        request_id = body['request_id']
        if self.faults.has('cross'):
            request_id = f'other-{request_id}'
        response = {
            'request_id': request_id,
            'output': {'subject': subject, 'by': self._name},
        }
        encoded = msgspec.json.encode(response)
        if self.faults.has('truncate'):
            encoded = encoded[: len(encoded) // 2]
        return web.Response(body=encoded, content_type='application/json')


def find_subject(stage_input: dict) -> str:
    """Return the subject of a stage's input or else of the previous stage."""
    for part in (stage_input.get('input'), stage_input.get('previous')):
        if isinstance(part, dict) and 'subject' in part:
            return part['subject']
    return ''
