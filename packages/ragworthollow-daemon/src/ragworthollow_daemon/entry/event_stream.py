"""Send server-sent events to a caller."""

import msgspec
from aiohttp import web

from ragworthollow.utils.message import Message
from ragworthollow_daemon.entry.messages import PipelineAnswer, TokenEvent


class EventStream:
    """
    Send tokens, followed by a single closing answer.

    Nothing is sent before the first token, so that a request refused before
    it still gets the matching HTTP status code.

    Parameters
    ----------
    request : Request
        The caller's request.
    """

    def __init__(self, *, request: web.Request) -> None:
        self._request = request
        self._response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-store',
            },
        )

    @property
    def is_started(self) -> bool:
        """Return whether the status line has been sent."""
        return self._response.prepared

    async def send_token(self, event: TokenEvent) -> None:
        """Send one token."""
        await self._send('token', event)

    async def finish(self, answer: PipelineAnswer) -> web.StreamResponse:
        """
        Send the closing event.

        Parameters
        ----------
        answer : PipelineAnswer
            The final answer; a stream without this event is incomplete.

        Returns
        -------
        StreamResponse
            Response for aiohttp to complete.
        """
        name = 'answer' if answer.refusal is None else 'refusal'
        await self._send(name, answer)
        await self._response.write_eof()
        return self._response

    async def _send(self, name: str, message: Message) -> None:
        if not self._response.prepared:
            await self._response.prepare(self._request)
        body = msgspec.json.encode(message).decode()
        event = f'event: {name}\ndata: {body}\n\n'
        await self._response.write(event.encode())
