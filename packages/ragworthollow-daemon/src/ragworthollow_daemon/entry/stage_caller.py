"""Send one attempt to one sidecar."""

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
from ragworthollow.transport.marked_body import MarkedBody
from ragworthollow.transport.stage_answer import refuse
from ragworthollow.utils import get_monotonic_ms
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
    Call sidecars and say truthfully how each attempt ended.

    Parameters
    ----------
    context : ProcessContext
        Of this process.
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
        Run one attempt to its end.

        Parameters
        ----------
        peer : PeerState
            Sidecar to call; its state learns from the answer.
        call : StageCall
            What to run.
        emit : callable
            Takes each token of a stream.
        timeout_ms : float
            Longest silence for a stream, longest wait otherwise.

        Returns
        -------
        StageAnswer
            Never raises for what the peer or the network does.
        """
        body = MarkedBody(msgspec.json.encode(call))
        started_ms = get_monotonic_ms()
        peer.in_flight += 1
        try:
            async with _limit_head(call, body):
                answer = await self._exchange(
                    peer,
                    call,
                    emit,
                    timeout_ms,
                    body,
                )
        except _FAILURES as error:
            answer = self._classify(peer, call, error, body)
        finally:
            peer.in_flight -= 1
        self._learn(peer, answer, get_monotonic_ms() - started_ms)
        return answer

    async def _exchange(
        self,
        peer: PeerState,
        call: StageCall,
        emit: Emit,
        timeout_ms: float,
        body: MarkedBody,
    ) -> StageAnswer:
        is_stream = call.kind is StageKind.generate
        limit = timeout_ms / _MILLISECONDS
        async with self._context.session.post(
            f'http://{peer.instance.address}/v1/stages',
            data=body,
            # With this, the body of a non-repeatable call leaves only after
            # the sidecar has answered the head: a connection that was dying
            # is found out while the call has provably not run.
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
                answer = msgspec.json.decode(
                    await response.read(),
                    type=StageAnswer,
                )
        return self._check_identity(peer, call, answer)

    async def _read_stream(
        self,
        peer: PeerState,
        call: StageCall,
        response: aiohttp.ClientResponse,
        emit: Emit,
    ) -> StageAnswer:
        async for raw_line in response.content:
            line = msgspec.json.decode(raw_line, type=StreamLine)
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
        Drop an answer that belongs to another attempt.

        A crossed answer would hand one caller's result to another; the
        echoed identifiers show it, since no two attempts share them.
        """
        is_ours = (answer.request_id, answer.stage, answer.attempt) == (
            call.request_id,
            call.stage,
            call.attempt,
        )
        if is_ours:
            return answer
        self._context.metrics.count_event('mismatched_answer')
        return self._refuse(
            peer,
            call,
            Outcome.unknown,
            Reason.mismatched_answer,
        )

    def _classify(
        self,
        peer: PeerState,
        call: StageCall,
        error: Exception,
        body: MarkedBody,
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

    def _learn(
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
        elif reason in _BLAMED:
            peer.record_failure(now_ms)


@asynccontextmanager
async def _limit_head(
    call: StageCall,
    body: MarkedBody,
) -> AsyncIterator[None]:
    """
    Give a frozen sidecar up while its call has provably not run.

    A stopped process still accepts connections in its kernel, so that a
    connect says nothing.  It does not answer the head, though, and until it
    does no byte of the body leaves.
    """
    if call.once is None:
        yield
        return
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as head:

        def expire() -> None:
            if not body.started:
                head.reschedule(loop.time())

        limit = global_settings.HEAD_TIMEOUT_MS / _MILLISECONDS
        timer = loop.call_later(limit, expire)
        try:
            yield
        finally:
            timer.cancel()


# Reasons that tell of a broken instance and not of a busy one.
_BLAMED = frozenset(
    (
        Reason.connect_failed,
        Reason.connection_lost,
        Reason.truncated,
        Reason.mismatched_answer,
        Reason.attempt_timeout,
        Reason.upstream_error,
    ),
)
