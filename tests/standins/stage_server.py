"""Stand in for a stage instance that sends responses more than once."""

import asyncio
import contextlib
from dataclasses import dataclass

import msgspec

_ID_HEADER = 'x-ragworthollow-request-id'
_RUN_PATH = '/api/stage-run'
_RELEASE_PATH = '/api/stage-free'
# Leaves time for the next request, so that a response meets it.
_DELAY_S = 0.003


@dataclass(frozen=True, kw_only=True)
class Answer:
    """
    Describe how one request is answered.

    Attributes
    ----------
    form : str
        `results`, `rejection`, `reasons` or `a result and a reason`; a message
        that is no call is answered, or rejected.
    is_after_copy : bool
        Whether a copy of the last response on the connection comes first.
    """

    form: str = 'results'
    is_after_copy: bool = False


class StageServerStandin:
    """
    Answer requests one at a time on each connection, as a script tells.

    Each result gets a handle of its own, also where a piece is repeated.
    `owners` holds the request and the number of the piece of each handle.
    """

    def __init__(
        self,
        *,
        script: tuple[Answer, ...],
        is_echoing: bool,
        handle_address: str = '',
    ) -> None:
        self.owners: dict[str, tuple[str, int]] = {}
        self.connections = 0
        self.address = ''
        self._script = list(script)
        self._is_echoing = is_echoing
        self._handle_address = handle_address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        previous = b''
        with contextlib.suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            while True:
                path, headers, body = await _read_request(reader)
                answer = self._script.pop(0) if self._script else Answer()
                if answer.is_after_copy and previous:
                    writer.write(previous)
                    await writer.drain()
                    await asyncio.sleep(_DELAY_S)
                previous = self._render(path, headers, body, answer.form)
                await asyncio.sleep(_DELAY_S)
                writer.write(previous)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    def _render(self, path, headers, body, form: str) -> bytes:
        echo = {}
        if self._is_echoing and _ID_HEADER in headers:
            echo = {_ID_HEADER: headers[_ID_HEADER]}
        if form == 'rejection':
            return _render_response(
                '503 Service Unavailable',
                {**echo, 'X-Ragworthollow-Not-Executed': '1'},
                b'',
            )
        message = {}
        if path == _RUN_PATH:
            items = msgspec.json.decode(body)['items']
            message = {'items': self._make_items(items, form)}
        elif path != _RELEASE_PATH:
            message = {'waiting': 0, 'busy': 0, 'free_mb': 8.0}
        return _render_response('200 OK', echo, msgspec.json.encode(message))

    def _make_items(self, items, form: str) -> list[dict[str, str]]:
        made = []
        for place, item in enumerate(items):
            if form == 'reasons' or (form != 'results' and place):
                made.append({'reason': 'room'})
                continue
            address = self._handle_address or self.address
            handle = f'{address}/{len(self.owners):x}'
            self.owners[handle] = (item['id'], item['piece'])
            made.append({'handle': handle})
        return made


async def _read_request(reader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first_line, *lines = head.split('\r\n')
    fields = [line.partition(': ') for line in lines if line]
    headers = {name.lower(): text for name, _, text in fields}
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return first_line.split(' ')[1], headers, body


def _render_response(status: str, headers: dict[str, str], body: bytes):
    lines = [f'HTTP/1.1 {status}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body
