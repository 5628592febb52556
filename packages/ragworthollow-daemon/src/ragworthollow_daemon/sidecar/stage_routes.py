"""Serve stage calls."""

import asyncio

import msgspec
from aiohttp import web

from ragworthollow.configuration.stage import StageKind
from ragworthollow.transport import OnceKey, StageAnswer, StageCall, StreamLine
from ragworthollow.transport.responses import Problem, respond
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.once_gate import OnceGate
from ragworthollow_daemon.sidecar.stage_gate import StageGate

_LINE_END = b'\n'


async def ignore_token(_line: StreamLine) -> None:
    """Take a token of a call that is not streamed."""


class StageRoutes:
    """
    Receive stage calls from entries.

    Parameters
    ----------
    context : ProcessContext
        Of this process.
    gate : StageGate
        The way to the upstream.
    once : OnceGate
        The way for keyed calls.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        gate: StageGate,
        once: OnceGate,
    ) -> None:
        self._context = context
        self._gate = gate
        self._once = once

    def add_to(self, application: web.Application) -> None:
        """Add the routes."""
        application.router.add_post('/v1/stages', self.run_stage)

    async def run_stage(self, request: web.Request) -> web.StreamResponse:
        """Run one stage call; a generating one answers line by line."""
        try:
            call = msgspec.json.decode(await request.read(), type=StageCall)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=400)
        with self._context.drain.serving():
            refused = self._gate.check(call)
            if refused is not None:
                return respond(self._gate.seal(refused))
            if call.kind is StageKind.generate:
                return await self._stream(request, call)
            return respond(self._gate.seal(await self._run(call)))

    async def _run(self, call: StageCall) -> StageAnswer:
        if call.once is None:
            return await self._gate.run(call, ignore_token)
        # The caller's departure must not cut a call that may have had its
        # effect: drain waits for it, and its record answers the repeat.
        return await asyncio.shield(
            asyncio.ensure_future(self._run_once(call, call.once)),
        )

    async def _run_once(self, call: StageCall, once: OnceKey) -> StageAnswer:
        with self._context.drain.serving():
            return await self._once.run(call, once)

    async def _stream(
        self,
        request: web.Request,
        call: StageCall,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={'Content-Type': 'application/x-ndjson'},
        )
        await response.prepare(request)

        async def emit(line: StreamLine) -> None:
            await response.write(msgspec.json.encode(line) + _LINE_END)

        answer = self._gate.seal(await self._gate.run(call, emit))
        await emit(StreamLine(answer=answer))
        await response.write_eof()
        return response
