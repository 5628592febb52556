"""Send a single attempt to a sidecar."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.configuration.stage import StageKind
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.routing import PeerState
from ragworthollow.transport import StageAnswer, StageCall, StreamLine
from ragworthollow.transport.bounded_reading import (
    iterate_lines,
    read_bounded,
)
from ragworthollow.transport.stage_answer import refuse
from ragworthollow.transport.tracked_body import TrackedBody
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.process_context import ProcessContext

Emit = Callable[[StreamLine], Awaitable[None]]

_MILLISECONDS = 1000
_UNAUTHENTICATED = 401
_FAILURES = (
    aiohttp.ClientError,
    TimeoutError,
    msgspec.DecodeError,
    OSError,
)


class StageCaller:
    """
    Call sidecars and classify how each attempt ended.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context

    async def call(
        self,
        peer: PeerState,
        call: StageCall,
        emit: Emit,
        timeout_ms: float,
    ) -> StageAnswer:
        """
        Run one attempt until it ends.

        Parameters
        ----------
        peer : PeerState
            Sidecar to call; its state is updated from the answer.
        call : StageCall
            Stage call to send.
        emit : callable
            Coroutine function that receives each token of a stream.
        timeout_ms : float
            Longest gap between reads for a stream, otherwise limit for the
            whole call, in milliseconds.

        Returns
        -------
        StageAnswer
            Answer of the sidecar. Faults of the sidecar or the network
            become refusals and are not raised.
        """
        body = TrackedBody(msgspec.json.encode(call))
        started_ms = get_monotonic_ms()
        peer.in_flight += 1
        try:
            async with _limit_continue_wait(call, body):
                answer = await self._exchange(
                    peer,
                    call,
                    emit,
                    timeout_ms,
                    body,
                )
        except _FAILURES as error:
            answer = self._classify_failure(peer, call, error, body)
        finally:
            peer.in_flight -= 1
        self._record_attempt(peer, answer, get_monotonic_ms() - started_ms)
        return answer

    async def _exchange(
        self,
        peer: PeerState,
        call: StageCall,
        emit: Emit,
        timeout_ms: float,
        body: TrackedBody,
    ) -> StageAnswer:
        is_stream = call.kind is StageKind.generate
        limit = timeout_ms / _MILLISECONDS
        async with self._context.session.post(
            f'http://{peer.instance.address}/v1/stages',
            data=body,
            # The body of a non-repeatable call is sent only after the
            # sidecar has replied "100 Continue", so that a broken connection
            # is detected while the call has provably not run.
            expect100=call.once is not None,
            timeout=aiohttp.ClientTimeout(
                total=None if is_stream else limit,
                sock_read=limit,
                sock_connect=(
                    global_settings.CONNECT_TIMEOUT_MS / _MILLISECONDS
                ),
            ),
        ) as response:
            if response.status == _UNAUTHENTICATED:
                return self._refuse(
                    peer,
                    call,
                    Outcome.not_run,
                    Reason.unauthorized,
                )
            response.raise_for_status()
            if is_stream and response.content_type != 'application/json':
                answer = await self._read_stream(peer, call, response, emit)
            else:
                answer = await self._read_answer(response)
        return self._check_identity(peer, call, answer)

    async def _read_answer(
        self, response: aiohttp.ClientResponse
    ) -> StageAnswer:
        with self._context.guard.answers.read() as reading:
            answer = await read_bounded(
                response, global_settings.MAX_RESPONSE_BYTES, reading
            )
            return decode_json(answer, StageAnswer)

    async def _read_stream(
        self,
        peer: PeerState,
        call: StageCall,
        response: aiohttp.ClientResponse,
        emit: Emit,
    ) -> StageAnswer:
        async for raw_line in iterate_lines(response.content):
            line = decode_json(raw_line, StreamLine)
            if line.answer is not None:
                return line.answer
            await emit(line)
        return self._refuse(peer, call, Outcome.unknown, Reason.truncated)

    def _check_identity(
        self,
        peer: PeerState,
        call: StageCall,
        answer: StageAnswer,
    ) -> StageAnswer:
        """
        Reject an answer that belongs to another attempt.

        A mismatched answer would deliver one caller's result to another.
        The echoed identifiers reveal it, since they are unique to an
        attempt.
        """
        is_matching = (answer.request_id, answer.stage, answer.attempt) == (
            call.request_id,
            call.stage,
            call.attempt,
        )
        if is_matching:
            return answer
        self._context.metrics.count_event('mismatched_answer')
        return self._refuse(
            peer,
            call,
            Outcome.unknown,
            Reason.mismatched_answer,
        )

    def _classify_failure(
        self,
        peer: PeerState,
        call: StageCall,
        error: Exception,
        body: TrackedBody,
    ) -> StageAnswer:
        detail = type(error).__name__
        if not body.started:
            return self._refuse(
                peer,
                call,
                Outcome.not_run,
                Reason.connect_failed,
                detail,
            )
        reason = Reason.connection_lost
        if isinstance(error, TimeoutError):
            reason = Reason.attempt_timeout
        elif isinstance(error, msgspec.DecodeError):
            reason = Reason.truncated
        return self._refuse(peer, call, Outcome.unknown, reason, detail)

    def _refuse(
        self,
        peer: PeerState,
        call: StageCall,
        outcome: Outcome,
        reason: Reason,
        detail: str = '',
    ) -> StageAnswer:
        return refuse(
            call,
            outcome=outcome,
            reason=reason,
            peer=peer.instance.instance,
            detail=detail,
        )

    def _record_attempt(
        self,
        peer: PeerState,
        answer: StageAnswer,
        elapsed_ms: float,
    ) -> None:
        now_ms = get_monotonic_ms()
        refusal = answer.refusal
        reason = refusal.reason if refusal else None
        self._context.metrics.count_attempt(
            answer.stage,
            answer.outcome,
            reason,
        )
        self._context.metrics.latency.record(answer.stage, elapsed_ms)
        if answer.generation:
            peer.record_load(answer.load, now_ms)
        if answer.outcome is Outcome.done:
            peer.record_success(elapsed_ms)
        elif reason in _INSTANCE_FAULTS:
            peer.record_failure(now_ms)


@asynccontextmanager
async def _limit_continue_wait(
    call: StageCall,
    body: TrackedBody,
) -> AsyncIterator[None]:
    """
    Time out an unresponsive sidecar while the call has provably not run.

    The kernel accepts connections even for a stopped process, so that a
    successful connect proves nothing. A stopped process does not reply
    "100 Continue", however, and before that reply no byte of the body is
    sent.
    """
    if call.once is None:
        yield
        return
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:

        def expire() -> None:
            if not body.started:
                timeout.reschedule(loop.time())

        limit = global_settings.HEAD_TIMEOUT_MS / _MILLISECONDS
        timer = loop.call_later(limit, expire)
        try:
            yield
        finally:
            timer.cancel()


# Reasons that indicate a faulty instance rather than a busy one.
_INSTANCE_FAULTS = frozenset(
    (
        Reason.connect_failed,
        Reason.connection_lost,
        Reason.truncated,
        Reason.mismatched_answer,
        Reason.attempt_timeout,
        Reason.upstream_error,
    ),
)
