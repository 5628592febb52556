"""Stand in for one upstream instance of the platform, faults included."""

import asyncio
import socket
import struct
from types import SimpleNamespace

import msgspec

_ID = 'x-ragworthollow-request-id'
_LAST_EVENT = 'last-event-id'
_EVENTS = 5
# An instance that is asked for a piece of this key ends.
CRASHING_KEY = 'crash'


class UpstreamStandin:
    """
    Serve plain requests, streams and pieces over raw connections.

    The last segment of a path says how a request is treated, so that one
    instance can misbehave in every way side by side.  `runs` holds what it
    has begun to work on, `arrivals` all that reached it.
    """

    def __init__(self, name: str, *, stop_after: int = _EVENTS) -> None:
        self.name = name
        self.stop_after = stop_after
        self.runs: list[SimpleNamespace] = []
        self.arrivals: list[SimpleNamespace] = []
        self.left: list[str] = []
        self.calls: list[list[dict]] = []
        self.freed: list[str] = []
        self.connections = 0
        self.piece_ms = 1
        self.failing_pieces = 0
        self.busy = 0
        self.most_busy = 0
        # Holds back the rest of streams that pause.
        self.may_go_on = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ''
        self.has_crashed = False
        # Headers of all answers.
        self.notices: dict[str, str] = {}
        self.is_refusing = False
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        self._server.close()

    def crash(self) -> None:
        """End as a process does that is killed: nothing listens any more."""
        self.has_crashed = True
        self._server.close()
        for writer in tuple(self._open):
            writer.transport.abort()

    def count_runs(self, request_id: str) -> int:
        return sum(run.request_id == request_id for run in self.runs)

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._open.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        request = await _read_request(reader)
        self.arrivals.append(request)
        expected = request.headers.get('x-ragworthollow-expect-instance')
        if expected not in {None, self.name}:
            _write(writer, '421 Misdirected Request', {}, b'')
            return True
        if request.path == '/api/stage-run':
            return await self._make_pieces(request, writer)
        if request.path == '/api/stage-free':
            self.freed += msgspec.json.decode(request.body)['handles']
            _write(writer, '200 OK', {}, b'')
            return True
        if self.is_refusing:
            return await _refuse(self, request, reader, writer)
        behave = _BEHAVIOURS[request.path.partition('?')[0].split('/')[-1]]
        return await behave(self, request, reader, writer)

    def note_run(self, request) -> dict[str, str]:
        """Note that work has begun, and return the marks of its answer."""
        self.runs.append(request)
        return {
            'X-Ragworthollow-Request-Id': request.request_id,
            'X-Ragworthollow-Response-Signature': f'{self.name}.signed',
            'X-Ragworthollow-Server-Load': '1,0,4',
            **self.notices,
        }

    async def _make_pieces(self, request, writer) -> bool:
        items = msgspec.json.decode(request.body)['items']
        self.calls.append(items)
        if any(item.get('key') == CRASHING_KEY for item in items):
            self.crash()
            return False
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        await asyncio.sleep(self.piece_ms / 1000)
        self.busy -= 1
        body = msgspec.json.encode({'items': list(map(self._make, items))})
        _write(writer, '200 OK', self.notices, body)
        return True

    def _make(self, item: dict) -> dict[str, str]:
        if any(handle in self.freed for handle in item.get('inputs', ())):
            return {'reason': 'gone'}
        if item['stage'] and self.failing_pieces:
            self.failing_pieces -= 1
            return {'reason': 'error'}
        return {'handle': f'{self.address}/{item["id"]}-{item["piece"]}'}


async def _read_request(reader) -> SimpleNamespace:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.split('\r\n')
    method, path, _ = lines[0].split(' ')
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, text = line.partition(': ')
        headers[name.lower()] = text
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return SimpleNamespace(
        method=method,
        path=path,
        headers=headers,
        body=body,
        request_id=headers.get(_ID, ''),
    )


def _write(writer, status, headers, body, *, length=None) -> None:
    lines = [f'HTTP/1.1 {status}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body) if length is None else length}')
    head = '\r\n'.join([*lines, '', '']).encode()
    writer.write(head + body)


def _reset(writer) -> None:
    """End a connection with a reset rather than a regular close."""
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


async def _answer(standin, request, _reader, writer):
    _write(writer, '200 OK', standin.note_run(request), b'whole answer')
    return True


async def _close(standin, request, _reader, _writer):
    standin.note_run(request)
    return False


async def _refuse(standin, _request, _reader, writer):
    headers = {'X-Ragworthollow-Not-Executed': '1', **standin.notices}
    _write(writer, '503 Service Unavailable', headers, b'')
    return True


async def _be_busy(standin, request, _reader, writer):
    marks = standin.note_run(request)
    _write(writer, '503 Service Unavailable', marks, b'ran all the same')
    return True


async def _fail(standin, request, _reader, writer):
    marks = standin.note_run(request)
    _write(writer, '500 Internal Server Error', marks, b'failed')
    return True


async def _answer_other(standin, request, _reader, writer):
    marks = standin.note_run(request)
    marks['X-Ragworthollow-Request-Id'] = 'of-another-request'
    _write(writer, '200 OK', marks, b'the answer of another')
    return True


async def _answer_unsigned(standin, request, _reader, writer):
    marks = standin.note_run(request)
    marks.pop('X-Ragworthollow-Response-Signature')
    _write(writer, '200 OK', marks, b'not signed')
    return True


async def _truncate(standin, request, _reader, writer):
    marks = standin.note_run(request)
    _write(writer, '200 OK', marks, b'half', length=8)
    return False


async def _end_unframed(standin, request, _reader, writer):
    _write_unframed(writer, standin.note_run(request))
    return False


async def _reset_unframed(standin, request, _reader, writer):
    _write_unframed(writer, standin.note_run(request))
    await writer.drain()
    # The head must be read before the reset, which discards what is not.
    await asyncio.sleep(0.05)
    _reset(writer)
    return False


def _write_unframed(writer, marks) -> None:
    lines = [f'{name}: {text}' for name, text in marks.items()]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', '']).encode()
    writer.write(head + b'to the end of the connection')


async def _answer_twice(standin, request, _reader, writer):
    marks = standin.note_run(request)
    _write(writer, '200 OK', marks, b'whole answer')
    await writer.drain()
    await asyncio.sleep(0.05)
    _write(writer, '200 OK', marks, b'whole answer')
    return True


async def _wait(standin, request, reader, writer):
    marks = standin.note_run(request)
    # Nothing but a close can come while a request is worked on.
    if await reader.read(1) == b'':
        standin.left.append(request.request_id)
        return False
    _write(writer, '200 OK', marks, b'too late')
    return False


async def _hold(standin, request, _reader, writer):
    marks = standin.note_run(request)
    await standin.may_go_on.wait()
    _write(writer, '200 OK', marks, b'whole answer')
    return True


async def _crash(standin, request, _reader, writer):
    _start_stream(standin, request, writer)
    await writer.drain()
    # The head of the answer is under way when the process ends.
    await asyncio.sleep(0.02)
    standin.crash()
    return False


async def _stream(standin, request, _reader, writer):
    first = int(request.headers.get(_LAST_EVENT, '0')) + 1
    _start_stream(standin, request, writer)
    for number in range(first, _EVENTS + 1):
        _write_chunk(writer, _render_event(number))
    _write_chunk(writer, b'')
    return True


async def _pause_stream(standin, request, _reader, writer):
    _start_stream(standin, request, writer)
    for number in range(1, _EVENTS + 1):
        if number == _EVENTS // 2:
            await standin.may_go_on.wait()
        _write_chunk(writer, _render_event(number))
    _write_chunk(writer, b'')
    return True


async def _break_stream(standin, request, _reader, writer):
    first = int(request.headers.get(_LAST_EVENT, '0')) + 1
    _start_stream(standin, request, writer)
    last = min(_EVENTS, first + standin.stop_after - 1)
    for number in range(first, last + 1):
        _write_chunk(writer, _render_event(number))
    if last < _EVENTS:
        _write_chunk(writer, _render_event(last + 1)[:6])
        return False
    _write_chunk(writer, b'')
    return True


def _start_stream(standin, request, writer) -> None:
    marks = standin.note_run(request)
    marks['Content-Type'] = 'text/event-stream'
    marks['Transfer-Encoding'] = 'chunked'
    lines = [f'{name}: {text}' for name, text in marks.items()]
    writer.write('\r\n'.join(['HTTP/1.1 200 OK', *lines, '', '']).encode())


def _render_event(number: int) -> bytes:
    return f'id: {number}\ndata: token {number}\n\n'.encode()


def _write_chunk(writer, chunk: bytes) -> None:
    writer.write(f'{len(chunk):x}\r\n'.encode() + chunk + b'\r\n')


_BEHAVIOURS = {
    'answer': _answer,
    'close': _close,
    'refuse': _refuse,
    'busy': _be_busy,
    'fail': _fail,
    'other': _answer_other,
    'unsigned': _answer_unsigned,
    'truncate': _truncate,
    'unframed': _end_unframed,
    'reset': _reset_unframed,
    'twice': _answer_twice,
    'wait': _wait,
    'hold': _hold,
    'crash': _crash,
    'stream': _stream,
    'break': _break_stream,
    'pause': _pause_stream,
}
