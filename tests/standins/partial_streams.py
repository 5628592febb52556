"""Stream events as an upstream that may break off its response."""

import asyncio
import enum
import socket
import struct
from dataclasses import dataclass

EVENT_COUNT = 5
# Loop iterations after which a client on the same loop has read what was sent.
_READ_ITERATIONS = 10


class Stop(enum.StrEnum):
    """Describe where a stream ends; `never` is a complete stream."""

    head = 'head'
    between = 'between'
    inside = 'inside'
    never = 'never'


class End(enum.StrEnum):
    """Describe how a response ends; `regular` as its framing demands."""

    close = 'close'
    reset = 'reset'
    regular = 'regular'


@dataclass(frozen=True, kw_only=True)
class PartialStream:
    """
    Describe one response.

    Attributes
    ----------
    framing : str
        `length`, `chunked` or `connection`.
    stop : Stop
        Where it stops: in its second event if inside one.
    end : End
        How it ends there.
    newline : str
        Line ending of its events.
    trailer : str
        Text after its last event.
    text : str
        Text in each of its events.
    ids : tuple of str
        Ids of its events, whatever was asked for; empty for the usual.
    """

    framing: str
    stop: Stop = Stop.never
    end: End = End.regular
    newline: str = '\n'
    trailer: str = ''
    text: str = 'token'
    ids: tuple[str, ...] = ()

    def render(self, first: int) -> bytes:
        """Return the body from an event on."""
        events = [
            f'id: {event_id}\ndata: {self.text} {event_id}\n\n'.replace(
                '\n', self.newline
            ).encode()
            for event_id in self.ids or range(first, EVENT_COUNT + 1)
        ]
        if self.stop is Stop.head:
            return b''
        if self.stop is Stop.between:
            return events[0]
        if self.stop is Stop.inside:
            return events[0] + events[1][:-3]
        return b''.join(events) + self.trailer.encode()


async def write_stream(
    writer: asyncio.StreamWriter,
    headers: dict[str, str],
    stream: PartialStream,
    first: int,
) -> bool:
    """
    Write a stream from an event on.

    Returns
    -------
    bool
        Whether the connection can take another request.
    """
    return await write_response(
        writer,
        {'Content-Type': 'text/event-stream', **headers},
        stream.render(first),
        framing=stream.framing,
        end=stream.end,
    )


async def write_response(
    writer: asyncio.StreamWriter,
    headers: dict[str, str],
    body: bytes,
    *,
    framing: str,
    end: End,
) -> bool:
    """Write a response that ends as told; return as `write_stream` does."""
    is_regular = end is End.regular
    lines = [f'{name}: {text}' for name, text in headers.items()]
    if framing == 'chunked':
        lines.append('Transfer-Encoding: chunked')
        body = _encode_chunks(body, is_regular=is_regular)
    elif framing == 'length':
        length = len(body) if is_regular else len(body) + 1
        lines.append(f'Content-Length: {length}')
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
    writer.write(head.encode() + body)
    await writer.drain()
    if end is End.reset:
        await reset_when_read(writer)
    return is_regular and framing != 'connection'


def _encode_chunks(body: bytes, *, is_regular: bool) -> bytes:
    chunk = f'{len(body):x}\r\n'.encode() + body + b'\r\n' if body else b''
    return chunk + (b'0\r\n\r\n' if is_regular else b'')


async def reset_when_read(writer: asyncio.StreamWriter) -> None:
    """Reset a connection whose client has read what was sent."""
    for _ in range(_READ_ITERATIONS):
        await asyncio.sleep(0.005)
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()
