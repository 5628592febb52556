"""
Shared parts of the review cases: store, engines, callers and gateways.

The stand-ins run on the event loop of the case and listen on 127.0.0.1.  The
gateways are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import atexit
import base64
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from aiohttp import web

HOST = '127.0.0.1'
ROOT = Path(__file__).resolve().parents[2]
NOT_RUN = (408, 421, 429, 503)


# Below the range from which the kernel takes the ports of outgoing channels, so
# that none of these occupies a port while its process is restarted.
_PORTS = range(12_000, 30_000)
_taken_ports: set[int] = set()


def free_port() -> int:
    """Return a port on which nothing listens now."""
    while True:
        port = random.SystemRandom().choice(_PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


class Record:
    """Write what happens to `record.txt` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._began_s
        self._file.write(f'{elapsed_s:8.3f} {text}\n')
        self._file.flush()


class Store:
    """The platform's key-value store: keys, leases, watches, history."""

    def __init__(self) -> None:
        self.port = free_port()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self._next_lease = 1000

    async def start(self) -> None:
        application = web.Application(client_max_size=16_000_000)
        router = application.router
        router.add_get('/api/kv-key', self._key)
        router.add_get('/api/kv-range', self._range)
        router.add_get('/api/kv-watch', self._watch)
        router.add_post('/api/kv-txn', self._transact)
        router.add_post('/api/kv-lease', self._grant)
        router.add_post('/api/kv-keep/{lease}', self._keep)
        router.add_delete('/api/kv-lease-end/{lease}', self._end)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, self.port).start()
        self._expiry = asyncio.ensure_future(self._expire())

    def put(self, key: str, value: bytes | dict, lease: int = 0) -> int:
        """Write a key as the operator or an engine does; return its revision."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'create_revision': known['create_revision'] if known else self.revision,
            'lease': lease,
        }
        self.history.append(self.items[key])
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {'key': key, 'rev': self.revision, 'tombstone': True}
            )

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (_, end_s) in tuple(self.leases.items()):
                if end_s < now_s:
                    self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        self.leases.pop(lease)
        for key in [k for k, item in self.items.items() if item['lease'] == lease]:
            self.remove(key)

    async def _key(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query['key'])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, 'as_of': self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query.get('path_prefix', '')
        after = request.query.get('after', '')
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return web.json_response(
            {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'as_of': self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get('path_prefix', '')
        after = int(request.query['after'])
        end_s = time.monotonic() + int(request.query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['rev'] > after and event['key'].startswith(prefix)
            ]
            if events or time.monotonic() >= end_s:
                return web.json_response(
                    {'events': events, 'as_of': self.revision}
                )
            await asyncio.sleep(0.02)

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = body.get('expect_rev') or ()
        if any(
            self.items.get(row['key'], {'rev': 0})['rev'] != row['rev']
            for row in expected
        ):
            items = [self.items[r['key']] for r in expected if r['key'] in self.items]
            return web.json_response({'items': items}, status=412)
        writes = body.get('writes') or ()
        if any(w.get('lease') and w['lease'] not in self.leases for w in writes):
            return web.Response(status=404)
        for row in writes:
            self.put(row['key'], base64.b64decode(row['value']), row.get('lease', 0))
        for key in body.get('remove') or ():
            self.remove(key)
        return web.json_response({'rev': self.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())['ttl_ms']
        self._next_lease += 1
        self.leases[self._next_lease] = [
            ttl_ms, time.monotonic() + ttl_ms / 1000
        ]
        return web.json_response({'lease': self._next_lease, 'ttl_ms': ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.Response(status=404)
        ttl_ms = self.leases[lease][0]
        self.leases[lease][1] = time.monotonic() + ttl_ms / 1000
        return web.json_response({'ttl_ms': ttl_ms})

    async def _end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.Response(status=404)
        self._drop_lease(lease)
        return web.json_response({})


class Gateways:
    """Start, signal and end the gateways of a small deployment."""

    def __init__(self, store: Store, record: Record, **bounds: object) -> None:
        self._store = store
        self._record = record
        self._bounds = bounds
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._command = shlex.split(deploy['roles']['gateway']['run'])
        self.processes: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, tuple[int, int]] = {}
        self._settings: dict[str, Path] = {}
        # Instance, exit code and time of each process that ended by itself.
        self.own_ends: list[tuple[str, int, float]] = []
        self._expected_ends: set[int] = set()
        atexit.register(self._clean_up)

    def _clean_up(self) -> None:
        self.kill_all()
        shutil.rmtree(self._folder, ignore_errors=True)

    def add(self, name: str, zone: str = 'zone-a') -> None:
        """Write the settings of a gateway as deploy/gateway.yaml does."""
        front, ready, peer = free_port(), free_port(), free_port()
        self.ports[name] = (front, ready)
        settings = {
            'role': 'gateway',
            'instance': name,
            'failure_domain': zone,
            'regions': {'zone-a': 'area', 'zone-b': 'area'},
            'front_address': f'{HOST}:{front}',
            'ready_address': f'{HOST}:{ready}',
            'peer_address': f'{HOST}:{peer}',
            'metrics_address': f'{HOST}:{free_port()}',
            'store_url': f'http://{HOST}:{self._store.port}',
            'grace_s': 8,
            'retry_ratio': 0.2,
            'retry_slack': 54,
            'cpu_share': 0.817,
            'cores': 1,
            'link_mbps': 1000.0,
            'configuration_bound_ms': 2000,
            'leaving_bound_ms': 2000,
            'platform_contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'engine', 'stream', 'tenants', 'platform', 'stages',
            ],
            'instance_heartbeat_ms': 1200,
            **self._bounds,
        }
        path = self._folder / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        self._settings[name] = path

    def start(self, name: str) -> None:
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['RAGWORTHOLLOW_NODE_FILE'] = str(self._settings[name])
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (self._folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            self._command, cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            start_new_session=True,
        )
        self.processes[name] = process
        self._record.write(f'{name} started, process {process.pid}')

    def signal(self, name: str, number: signal.Signals) -> None:
        process = self.processes[name]
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._expected_ends.add(process.pid)
        self._record.write(f'{name} gets {number.name}')
        process.send_signal(number)

    async def supervise(self) -> None:
        """Start each process that has ended again, as the platform does."""
        while True:
            for name, process in tuple(self.processes.items()):
                code = process.poll()
                if code is None:
                    continue
                if process.pid not in self._expected_ends:
                    self.own_ends.append((name, code, time.monotonic()))
                    self._record.write(f'{name} ended by itself, exit code {code}')
                await asyncio.sleep(0.3)
                self.start(name)
            await asyncio.sleep(0.05)

    async def wait_ready(self, names, limit_s: float = 20) -> bool:
        end_s = time.monotonic() + limit_s
        for name in names:
            while await self.ready_status(name) != 200:
                if time.monotonic() > end_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def ready_status(self, name: str) -> int:
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ports[name][1]
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n'
                             b'Connection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0

    def read_log(self, name: str) -> str:
        return (self._folder / f'{name}.log').read_text(errors='replace')

    def kill_all(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and headers; None at a clean end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_chunked(reader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(part[:-2])


class Answer:
    """What a caller has received for one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.whole = False
        self.error = ''
        # Whether the channel had carried an answer before this request.
        self.was_kept = False
        # Whether the caller gave up; the channel was not closed by its peer.
        self.gave_up = False
        self.arrivals_s: list[float] = []


class Caller:
    """One kept channel of a consumer."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.reader = None
        self.writer = None
        # Requests that were answered on the channel that is open now.
        self.answered = 0

    async def open(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self._port, limit=2**24
        )
        self.answered = 0

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def ask(self, method, path, headers, body=b'', limit_s=30.0) -> Answer:
        answer = Answer()
        answer.was_kept = self.writer is not None and self.answered > 0
        try:
            async with asyncio.timeout(limit_s):
                if self.writer is None:
                    await self.open()
                lines = [f'{method} {path} HTTP/1.1']
                lines += [f'{name}: {text}' for name, text in headers.items()]
                if body or method != 'GET':
                    lines.append(f'Content-Length: {len(body)}')
                head = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'
                self.writer.write(head + body)
                await self._read(answer)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            answer.error = repr(error)
            answer.gave_up = isinstance(error, TimeoutError)
            self.close()
        return answer

    async def _read(self, answer: Answer) -> None:
        head = await read_head(self.reader)
        if head is None:
            raise EOFError('closed without an answer')
        answer.status = int(head[0].split()[1])
        answer.headers = head[1]
        if 'chunked' in answer.headers.get('transfer-encoding', ''):
            while True:
                line = await self.reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                part = await self.reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += part[:-2]
                answer.arrivals_s.append(time.monotonic())
        else:
            length = int(answer.headers.get('content-length', '0'))
            answer.body = await self.reader.readexactly(length)
        answer.whole = True
        self.answered += 1
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()


def make_id(rng: random.Random) -> str:
    return f'{rng.getrandbits(64):016x}'


class Received:
    """One request as an engine has read it."""

    def __init__(self, line, headers, body, reader, writer) -> None:
        self.method, self.target, _ = line.split(' ', 2)
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    @property
    def id(self) -> str:
        return self.headers.get('x-ragworthollow-request-id', '')


class Engine:
    """
    An engine: it registers itself, reports, and serves what it is sent.

    Parameters
    ----------
    serve : callable
        Coroutine function of the engine and a request; returns whether the
        channel stays open.
    window_bytes : int, optional
        What the engine receives ahead of its reading, on each channel.
    """

    def __init__(
        self, store, service, serve, zone='zone-a', slots=8, window_bytes=None
    ) -> None:
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.port = free_port()
        self.id = f'i-{random.getrandbits(32):08x}'
        self.state = 'ready'
        self.version = 'v1'
        self._serve = serve
        self._window_bytes = window_bytes
        self.running = 0
        self.most_running = 0
        self._seq = 0
        self._server = None
        self._lease = 0
        self._writers: set = set()
        self.odd_bytes: list[bytes] = []

    @property
    def address(self) -> str:
        return f'{HOST}:{self.port}'

    async def start(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._window_bytes:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._window_bytes
            )
        listener.bind((HOST, self.port))
        self._server = await asyncio.start_server(
            self._connected, sock=listener,
            limit=self._window_bytes or 2**24,
        )
        self.report()
        self._beating = asyncio.ensure_future(self._beat())

    def report(self) -> int:
        self._seq += 1
        return self.store.put(
            f'servers/{self.id}',
            {
                'backend': self.service, 'addr': self.address,
                'zone': self.zone, 'version': self.version,
                'slots': self.slots, 'state': self.state,
                'cold_left_ms': 0, 'seq': self._seq,
            },
        )

    async def stop(self, *, crash: bool = False) -> None:
        self._beating.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort() if crash else writer.close()
        if not crash:
            self.store.remove(f'servers/{self.id}')

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            self.report()

    async def _connected(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                if line.count(' ') != 2 or not line.endswith('HTTP/1.1'):
                    self.odd_bytes.append(line.encode())
                    return
                request = Received(line, headers, None, reader, writer)
                if not await self._serve(self, request):
                    return
        except (
            OSError, EOFError, ValueError, asyncio.LimitOverrunError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def read_body(self, request: Received) -> bytes:
        if 'chunked' in request.headers.get('transfer-encoding', ''):
            request.body = await read_chunked(request.reader)
        else:
            length = int(request.headers.get('content-length', '0'))
            request.body = await request.reader.readexactly(length)
        return request.body


def make_response(status, request_id, body=b'', extra=(), signed=True, length=True):
    lines = [f'HTTP/1.1 {status} X', f'X-Ragworthollow-Request-Id: {request_id}']
    if signed:
        lines.append('X-Ragworthollow-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1')
    lines += [f'{name}: {text}' for name, text in extra]
    if length:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


SHED = (('X-Ragworthollow-Not-Executed', '1'),)


def make_config(version, services, routes, tenants=None) -> dict:
    config = {
        'version': version, 'services': services, 'routes': routes,
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': 4194304,
            'header_timeout_ms': 5000, 'idle_timeout_ms': 10000,
        },
    }
    if tenants is not None:
        config['tenants'] = tenants
    return config


def make_service(name, **more) -> dict:
    return {'name': name, 'health_path': '/health', 'max_conns': 360,
            'protocol': 'h1', 'tls': False, **more}


def make_route(name, host, prefix, kind, backend, **more) -> dict:
    return {
        'name': name, 'host': host, 'path_prefix': prefix, 'kind': kind,
        'timeout_ms': 3000, 'slo_ms': 500, 'priority': 1, 'backend': backend,
        'max_attempts': 2, 'stages': [], 'public': False, 'sticky': False,
        'can_resume': False, **more,
    }


def run_case(play) -> None:
    """Run a case and exit with its result, 2 if it could not run."""
    folder = Path.cwd()
    record = Record(folder)
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'disruption: {is_troubled}')
    try:
        async def limited():
            async with asyncio.timeout(110):
                return await play(record, is_troubled)

        is_broken = asyncio.run(limited())
    except Exception as error:  # The case could not be played.
        record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        raise SystemExit(2) from error
    record.write('the rule was broken' if is_broken else 'the rule held')
    raise SystemExit(1 if is_broken else 0)
