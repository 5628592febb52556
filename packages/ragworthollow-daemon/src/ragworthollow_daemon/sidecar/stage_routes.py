"""Serve stage calls over HTTP."""

import asyncio

import msgspec
from aiohttp import web

from ragworthollow.configuration.stage import StageKind
from ragworthollow.transport import OnceKey, StageAnswer, StageCall, StreamLine
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils import decode_json
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.once_executor import OnceExecutor
from ragworthollow_daemon.sidecar.stage_executor import StageExecutor

_LINE_END = b'\n'


async def ignore_token(_line: StreamLine) -> None:
    """Discard a token of a call that is not streamed."""


class StageRoutes:
    """
    Receive stage calls from entries.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    executor : StageExecutor
        Runs calls without a key.
    once_executor : OnceExecutor
        Runs calls with a once key.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        executor: StageExecutor,
        once_executor: OnceExecutor,
    ) -> None:
        self._context = context
        self._executor = executor
        self._once_executor = once_executor

    def add_to(self, application: web.Application) -> None:
        """Register the routes."""
        application.router.add_post('/v1/stages', self.run_stage)

    async def run_stage(self, request: web.Request) -> web.StreamResponse:
        """Run one stage call; stream the output of a generating stage."""
        try:
            call = decode_json(await request.read(), StageCall)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=400)
        with self._context.drain.serving(call.request_id, request.remote or ''):
            refused = self._executor.check(call)
            if refused is not None:
                return respond(self._executor.finalize_answer(refused))
            if call.kind is StageKind.generate:
                return await self._stream(request, call)
            return respond(
                self._executor.finalize_answer(await self._run(call))
            )

    async def _run(self, call: StageCall) -> StageAnswer:
        if call.once is None:
            return await self._executor.run(call, ignore_token)
        # A disconnected caller must not cancel a call that may already have
        # had its effect: drain waits for the call, and a retry gets the
        # recorded result.
        return await asyncio.shield(
            asyncio.ensure_future(self._run_once(call, call.once)),
        )

    async def _run_once(self, call: StageCall, once: OnceKey) -> StageAnswer:
        with self._context.drain.serving(call.request_id):
            return await self._once_executor.run(call, once)

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

        answer = self._executor.finalize_answer(
            await self._executor.run(call, emit)
        )
        await emit(StreamLine(answer=answer))
        await response.write_eof()
        return response
