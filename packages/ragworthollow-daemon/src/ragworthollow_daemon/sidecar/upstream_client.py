"""Call the upstream next to this sidecar."""

import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.configuration.stage import StageKind
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.transport import StageCall, StreamLine
from ragworthollow.transport.answer_memory import AnswerMemory
from ragworthollow.transport.bounded_reading import (
    iterate_lines,
    read_bounded,
)
from ragworthollow.transport.tracked_body import TrackedBody
from ragworthollow.utils import decode_json
from ragworthollow_daemon.process_context import get_timeout
from ragworthollow_daemon.sidecar.upstream_messages import (
    CompletionChunk,
    Generation,
    UpstreamResponse,
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
    Call the upstream and classify the outcome of each call.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that doesn't send the shared secret.
    base_url : str
        Base URL of the upstream.
    answers : AnswerMemory
        Accounts for responses while they are read.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        base_url: str,
        answers: AnswerMemory,
    ) -> None:
        self._session = session
        self._answers = answers
        self._base_url = base_url.rstrip('/')

    async def call(
        self,
        call: StageCall,
        emit: Emit,
        remaining_ms: float,
    ) -> UpstreamResult:
        """
        Run one call and return its result.

        Parameters
        ----------
        call : StageCall
            Call to run.
        emit : callable
            Receives each token of a stream.
        remaining_ms : float
            Time until the deadline.

        Returns
        -------
        UpstreamResult
            Errors of the upstream are returned, not raised. Cancellation
            closes the connection, which cancels the work on the upstream.
        """
        path, message = _build_request(call)
        body = TrackedBody(msgspec.json.encode(message))
        try:
            return await self._send_request(
                call, emit, remaining_ms, path, body
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return _classify_error(error, body)
        except msgspec.DecodeError as error:
            return UpstreamResult(
                outcome=Outcome.unknown,
                reason=Reason.truncated,
                detail=str(error),
            )

    async def _send_request(
        self,
        call: StageCall,
        emit: Emit,
        remaining_ms: float,
        path: str,
        body: TrackedBody,
    ) -> UpstreamResult:
        async with self._session.post(
            f'{self._base_url}{path}',
            data=body,
            timeout=get_timeout(remaining_ms),
        ) as response:
            if response.status >= _BAD_REQUEST:
                return await _classify_status(call, response)
            if call.kind is StageKind.generate:
                return await _read_stream(call, response, emit)
            with self._answers.read() as reading:
                answer = await read_bounded(
                    response, global_settings.MAX_RESPONSE_BYTES, reading
                )
                return _decode_response(call, answer)


def _build_request(call: StageCall) -> tuple[str, dict[str, object]]:
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
        Organisation that sent the prompt.

    Returns
    -------
    str
        Salt that differs for each organisation. Equal prompts of two
        organisations never share a cached prefix, so that neither can infer
        the other's prompts from response times.
    """
    return hashlib.sha256(f'salt:{organisation}'.encode()).hexdigest()[:16]


def _decode_response(call: StageCall, body: bytes) -> UpstreamResult:
    response = decode_json(body, UpstreamResponse)
    if response.request_id != call.request_id:
        # The response belongs to another request; it is unknown whether this
        # request has run.
        return UpstreamResult(
            outcome=Outcome.unknown,
            reason=Reason.mismatched_answer,
            detail='the upstream answered another request',
        )
    return UpstreamResult(outcome=Outcome.done, output=response.output)


async def _classify_status(
    call: StageCall, response: aiohttp.ClientResponse
) -> UpstreamResult:
    body = await read_bounded(response, global_settings.MAX_MESSAGE_BYTES)
    detail = body.decode(errors='replace')[:200]
    is_engine = call.kind is StageKind.generate
    if is_engine and response.status == _CONFLICT:
        # The protocol of engines defines this status as: the model is not
        # loaded and nothing has run.
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


def _classify_error(error: Exception, body: TrackedBody) -> UpstreamResult:
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
        chunk = decode_json(event, CompletionChunk)
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
    async for line in iterate_lines(
        response.content, global_settings.MAX_EVENT_BYTES
    ):
        event = line.strip().removeprefix(_EVENT_PREFIX)
        if event == _LAST_EVENT:
            return
        if event:
            yield event
