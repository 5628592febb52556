"""Pass a stream through to the caller, from one upstream or several."""

from collections.abc import Callable

from aiohttp import ClientResponse, web

from ragworthollow.platform.answer_wire import make_caller_headers
from ragworthollow_daemon.gateway.answer_progress import AnswerProgress
from ragworthollow_daemon.gateway.event_splitter import EventSplitter
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure


class StreamBroken(Exception):
    """
    Say that a stream has ended before its end.

    Parameters
    ----------
    response : StreamResponse
        What the caller has of it; its connection is closed.
    failure : UpstreamFailure
        Why it cannot go on.
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
    Write the events of a stream as they arrive.

    The head and its signature are the first upstream's, also when another
    one goes on.

    Parameters
    ----------
    job : RequestJob
        The request.
    is_draining : callable
        Tells whether the process stops.
    progress : AnswerProgress
        Told when the head of the answer is sent.
    """

    def __init__(
        self,
        *,
        job: RequestJob,
        is_draining: Callable[[], bool],
        progress: AnswerProgress,
    ) -> None:
        self._job = job
        self._progress = progress
        self._is_draining = is_draining
        self._response: web.StreamResponse | None = None
        self._splitter = EventSplitter()

    def is_started(self) -> bool:
        """Tell whether the caller has the head of the answer."""
        return self._response is not None

    def get_last_event_id(self) -> str:
        """Return the id after which the stream would go on."""
        return self._splitter.last_event_id or self._job.terms.last_event_id

    async def start(self, upstream: ClientResponse) -> None:
        """Send the head, unless an earlier upstream's has been sent."""
        if self._response is not None:
            return
        response = web.StreamResponse(
            status=upstream.status,
            headers=make_caller_headers(upstream.headers),
        )
        response.enable_chunked_encoding()
        if self._is_draining():
            # The next request of this connection goes to another process.
            response.force_close()
        self._response = response
        self._progress.is_started = True
        await response.prepare(self._job.request)

    async def pump(
        self,
        upstream: ClientResponse,
        on_first_event: Callable[[], None],
    ) -> None:
        """
        Pass events on until the upstream has ended its stream.

        Parameters
        ----------
        upstream : ClientResponse
            Its open answer.
        on_first_event : callable
            Called when events have come: the upstream has begun to generate
            and needs its inputs no more.

        Raises
        ------
        ClientError
            The upstream broke off; `get_last_event_id` tells where.
        """
        self._splitter.take_rest()
        async for chunk, _ in upstream.content.iter_chunks():
            whole = self._splitter.feed(chunk)
            if whole:
                on_first_event()
                await self._write(whole)
        rest = self._splitter.take_rest()
        if rest:
            await self._write(rest)

    async def finish(self) -> web.StreamResponse:
        """End the answer as complete."""
        await self._response.write_eof()
        return self._response

    def abort(self, failure: UpstreamFailure) -> StreamBroken:
        """
        End the connection so that the answer does not look complete.

        What was written is still delivered; the server cannot end the body
        in the regular way on a connection that is closing.

        Returns
        -------
        StreamBroken
            To be raised.
        """
        transport = self._job.request.transport
        if transport is not None:
            transport.close()
        return StreamBroken(response=self._response, failure=failure)

    async def _write(self, events: bytes) -> None:
        await self._response.write(events)
