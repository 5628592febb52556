"""Relay an event stream to the caller, from one or several upstreams."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from aiohttp import ClientError, ClientPayloadError, ClientResponse, web

from ragworthollow.platform.response_wire import make_caller_headers
from ragworthollow.transport.body_framing import BodyFraming
from ragworthollow.transport.paced_reading import iterate_paced
from ragworthollow.upstreams.event_numbering import EventNumbering
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.body_end import BodyEnd
from ragworthollow_daemon.gateway.event_buffer import EventBuffer
from ragworthollow_daemon.gateway.event_order_error import EventOrderError
from ragworthollow_daemon.gateway.event_sequence import EventSequence
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.response_progress import ResponseProgress
from ragworthollow_daemon.gateway.stream_timing import StreamTiming
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure


class StreamAborted(Exception):
    """
    Signal that a stream was aborted after its head had been sent.

    Parameters
    ----------
    response : StreamResponse
        The partial response, whose connection has to be closed.
    failure : UpstreamFailure
        Why the stream cannot be resumed.
    """

    def __init__(
        self,
        *,
        response: web.StreamResponse,
        failure: UpstreamFailure,
    ) -> None:
        super().__init__(failure.reason)
        self.response = response
        self.failure = failure


class StreamRelay:
    """
    Write the events of a stream to the caller as they arrive.

    The head and its signature come from the first upstream, even if another
    upstream resumes the stream.

    Parameters
    ----------
    job : RequestJob
        Request to answer.
    is_draining : callable
        Returns whether the process is shutting down.
    progress : ResponseProgress
        Updated when the head of the response is sent.

    Attributes
    ----------
    sequence : EventSequence
        Ids of the events that were passed on.
    timing : StreamTiming
        When they arrived.
    """

    def __init__(
        self,
        *,
        job: RequestJob,
        is_draining: Callable[[], bool],
        progress: ResponseProgress,
    ) -> None:
        self._job = job
        self._progress = progress
        self._is_draining = is_draining
        self._response: web.StreamResponse | None = None
        self._event_buffer = EventBuffer()
        self._body_end: BodyEnd | None = None
        # Events of earlier upstreams.
        self._previous_events = 0
        self.timing = StreamTiming()
        self.sequence = EventSequence(
            resumed_after=job.request_parameters.last_event_id,
        )

    def is_started(self) -> bool:
        """Return whether the head of the response has been sent."""
        return self._response is not None

    def get_last_event_id(self) -> str:
        """Return the id of the event after which to resume the stream."""
        return self.sequence.last_event_id

    def describe_end(self) -> dict[str, object]:
        """Return log fields that tell how the last upstream ended its body."""
        if self._body_end is None:
            return {}
        return {
            'framing': self._body_end.framing,
            'connection_end': self._body_end.get_connection_end(),
            'events': self._event_buffer.event_count,
            'unfinished_bytes': len(self._event_buffer.get_incomplete()),
            'longest_pause_ms': round(self.timing.longest_pause_ms),
        }

    async def start(
        self,
        upstream: ClientResponse,
        numbering: EventNumbering | None,
    ) -> None:
        """
        Send the head, unless that of an earlier upstream has been sent.

        Parameters
        ----------
        upstream : ClientResponse
            Open response of the upstream.
        numbering : EventNumbering or None
            What other streams of its software have shown.
        """
        self._body_end = BodyEnd(response=upstream)
        self.sequence.begin_part(numbering)
        if self._response is not None:
            return
        response = web.StreamResponse(
            status=upstream.status,
            headers=make_caller_headers(upstream.headers),
        )
        response.enable_chunked_encoding()
        if self._is_draining():
            # Makes the caller send its next request to another process.
            response.force_close()
        self._response = response
        self._progress.is_started = True
        with _writing_to_caller():
            await response.prepare(self._job.request)

    async def relay_events(
        self,
        upstream: ClientResponse,
        on_first_event: Callable[[], None],
    ) -> None:
        """
        Relay events until the upstream ends its stream.

        Parameters
        ----------
        upstream : ClientResponse
            Open response of the upstream.
        on_first_event : callable
            Called each time events arrive: the upstream has started to
            generate and no longer needs its inputs.

        Raises
        ------
        ClientError
            If the upstream disconnects, ends its stream inside an event, or
            sends an event that is too long or does not follow;
            `get_last_event_id` returns the event after which to resume.
        ConnectionError
            If the caller disconnects.
        """
        self._event_buffer.discard_incomplete()
        self._previous_events = self._event_buffer.event_count
        async for chunk in iterate_paced(upstream.content):
            complete = self._event_buffer.feed(chunk)
            if complete:
                await self._pass_on(complete, on_first_event)
            if self._event_buffer.is_event_too_long:
                raise ClientPayloadError('an event of the stream is too long')
        self._check_end()
        rest = self._event_buffer.get_incomplete()
        if rest:
            await self._write(rest)

    async def finish(self) -> web.StreamResponse:
        """End the response as complete."""
        with _writing_to_caller():
            await self._response.write_eof()
        return self._response

    def abort(self, failure: UpstreamFailure) -> StreamAborted:
        """Return the exception to raise if the stream cannot go on."""
        return StreamAborted(response=self._response, failure=failure)

    async def _pass_on(
        self, complete: bytes, on_first_event: Callable[[], None]
    ) -> None:
        events = self.sequence.take(complete)
        if events:
            self.timing.record(get_monotonic_ms())
            on_first_event()
            await self._write(events)
        if self.sequence.rejected_id is not None:
            raise EventOrderError(
                rejected_id=self.sequence.rejected_id,
                last_id=self.sequence.last_event_id,
            )

    def _check_end(self) -> None:
        """Raise ClientPayloadError if a regular end leaves events missing."""
        if self._event_buffer.has_partial_event():
            raise ClientPayloadError('the stream ended inside an event')
        is_empty = self._event_buffer.event_count == self._previous_events
        # A process that crashes after the head closes its connection too.
        if is_empty and self._body_end.framing is BodyFraming.connection:
            raise ClientPayloadError('the connection ended before any event')

    async def _write(self, events: bytes) -> None:
        with _writing_to_caller():
            await self._response.write(events)


@contextmanager
def _writing_to_caller() -> Iterator[None]:
    """
    Report a lost caller differently from a lost upstream.

    The HTTP library raises the same errors on both sides.
    """
    try:
        yield
    except ClientError as error:
        raise ConnectionError(f'the caller disconnected: {error!r}') from error
