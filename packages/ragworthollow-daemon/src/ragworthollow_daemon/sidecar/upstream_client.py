"""Call the upstream beside this sidecar."""

import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec

from ragworthollow.configuration.stage import StageKind
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.transport import StageCall, StreamLine
from ragworthollow.transport.marked_body import MarkedBody
from ragworthollow_daemon.process_context import get_timeout
from ragworthollow_daemon.sidecar.upstream_messages import (
    CompletionChunk,
    Generation,
    UpstreamAnswer,
)
from ragworthollow_daemon.sidecar.upstream_result import UpstreamResult

Emit = Callable[[StreamLine], Awaitable[None]]

_EVENT_PREFIX = b'data: '
_LAST_EVENT = b'[DONE]'
_BAD_REQUEST = 400
_CONFLICT = 409
_SERVER_ERROR = 500


class UpstreamClient:
    """
    Speak the upstream's protocol and classify how a call ended.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session without our secret.
    base_url : str
        Address of the upstream.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        base_url: str,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip('/')

    async def call(
        self,
        call: StageCall,
        emit: Emit,
        remaining_ms: float,
    ) -> UpstreamResult:
        """
        Run one call to its end.

        Parameters
        ----------
        call : StageCall
            What to run.
        emit : callable
            Takes each token of a stream.
        remaining_ms : float
            Time left.

        Returns
        -------
        UpstreamResult
            Never raises for what the upstream does; a cancellation closes
            the connection, which cancels the work.
        """
        path, message = _render(call)
        body = MarkedBody(msgspec.json.encode(message))
        try:
            return await self._exchange(call, emit, remaining_ms, path, body)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return _classify(error, body)
        except msgspec.DecodeError as error:
            return UpstreamResult(
                outcome=Outcome.unknown,
                reason=Reason.truncated,
                detail=str(error),
            )

    async def _exchange(
        self,
        call: StageCall,
        emit: Emit,
        remaining_ms: float,
        path: str,
        body: MarkedBody,
    ) -> UpstreamResult:
        async with self._session.post(
            f'{self._base_url}{path}',
            data=body,
            timeout=get_timeout(remaining_ms),
        ) as response:
            if response.status >= _BAD_REQUEST:
                return await _explain_status(response)
            if call.kind is StageKind.generate:
                return await _read_stream(call, response, emit)
            return _check_answer(call, await response.read())


def _render(call: StageCall) -> tuple[str, dict[str, object]]:
    if call.kind is StageKind.generate:
        return '/v1/completions', {
            'model': call.model,
            'adapter': call.adapter,
            'prompt': call.payload,
            'max_tokens': call.max_tokens,
            'stream': True,
            'priority': call.worth,
            'cache_salt': get_cache_salt(call.organisation),
            'user': call.request_id,
            'resume_offset': call.resume_offset,
        }
    if call.kind is StageKind.plain:
        return '/v1/calls', {
            'request_id': call.request_id,
            'operation': call.operation,
            'input': call.payload,
        }
    return f'/v1/{call.kind}', {
        'request_id': call.request_id,
        'input': call.payload,
    }


def get_cache_salt(organisation: str) -> str:
    """
    Return the salt that separates the prefix caches of organisations.

    Parameters
    ----------
    organisation : str
        Whose prompt it is.

    Returns
    -------
    str
        Equal prompts of two organisations never share a cached prefix, so
        that neither can time the other's work.
    """
    return hashlib.sha256(f'salt:{organisation}'.encode()).hexdigest()[:16]


def _check_answer(call: StageCall, body: bytes) -> UpstreamResult:
    answer = msgspec.json.decode(body, type=UpstreamAnswer)
    if answer.request_id != call.request_id:
        # A crossed answer belongs to somebody else's request; ours may or
        # may not have run.
        return UpstreamResult(
            outcome=Outcome.unknown,
            reason=Reason.mismatched_answer,
            detail='the upstream answered another request',
        )
    return UpstreamResult(outcome=Outcome.done, output=answer.output)


async def _explain_status(response: aiohttp.ClientResponse) -> UpstreamResult:
    detail = (await response.text())[:200]
    if response.status == _CONFLICT:
        # The published meaning of this status: the model is not loaded and
        # nothing has run.
        return UpstreamResult(
            outcome=Outcome.not_run,
            reason=Reason.model_not_loaded,
            detail=detail,
        )
    return UpstreamResult(
        outcome=Outcome.failed,
        reason=Reason.upstream_error,
        detail=f'status {response.status}: {detail}',
    )


def _classify(error: Exception, body: MarkedBody) -> UpstreamResult:
    if not body.started:
        return UpstreamResult(
            outcome=Outcome.not_run,
            reason=Reason.connect_failed,
            detail=type(error).__name__,
        )
    is_timeout = isinstance(error, TimeoutError)
    return UpstreamResult(
        outcome=Outcome.unknown,
        reason=Reason.attempt_timeout if is_timeout else Reason.connection_lost,
        detail=type(error).__name__,
    )


async def _read_stream(
    call: StageCall,
    response: aiohttp.ClientResponse,
    emit: Emit,
) -> UpstreamResult:
    texts: list[str] = []
    is_finished = False
    async for event in _iterate_events(response):
        chunk = msgspec.json.decode(event, type=CompletionChunk)
        expected = call.resume_offset + len(texts)
        choice = chunk.choices[0]
        if chunk.id != call.request_id or choice.index != expected:
            return UpstreamResult(
                outcome=Outcome.unknown,
                reason=Reason.mismatched_answer,
                detail='the stream carries another request or offset',
            )
        texts.append(choice.text)
        await emit(StreamLine(offset=choice.index, token=choice.text))
        is_finished = choice.finish_reason is not None
    if not is_finished:
        return UpstreamResult(
            outcome=Outcome.unknown,
            reason=Reason.truncated,
            detail=f'the stream broke off after {len(texts)} tokens',
        )
    generation = Generation(
        text=''.join(texts),
        tokens=len(texts),
        offset=call.resume_offset,
    )
    return UpstreamResult(
        outcome=Outcome.done,
        output=msgspec.Raw(msgspec.json.encode(generation)),
    )


async def _iterate_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    async for line in response.content:
        event = line.strip().removeprefix(_EVENT_PREFIX)
        if event == _LAST_EVENT:
            return
        if event:
            yield event
