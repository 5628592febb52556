"""
Shared parts of the review cases: store, engines, callers and gateways.

All stand-ins run on the event loop of the case and listen on 127.0.0.1. The
gateways are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import atexit
import base64
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / 'target' / 'deps')]

from aiohttp import web  # noqa: E402

HOST = '127.0.0.1'
ZONES = {'hall-a': 'kingston', 'hall-b': 'kingston', 'hall-c': 'kingston'}
KEY = '9dnn2ctnfzs989anu6ws'
TENANT = 'bozi300'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HEARTBEAT_MS = 1200
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """Write what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        seconds = time.monotonic() - self._started
        self._file.write(f'{seconds:8.3f}  {text}\n')
        self._file.flush()


class Store:
    """The platform's store: keys, leases and history, all in memory."""

    def __init__(self) -> None:
        self.port = 0
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._leases: dict[int, list[float]] = {}
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        application = web.Application(client_max_size=16_000_000)
        router = application.router
        router.add_get('/api/kv-key', self._read)
        router.add_get('/api/kv-range', self._range)
        router.add_get('/api/kv-watch', self._watch)
        router.add_post('/api/kv-txn', self._commit)
        router.add_post('/api/kv-lease', self._grant)
        router.add_post('/api/kv-keep/{lease}', self._renew)
        router.add_delete('/api/kv-lease-end/{lease}', self._end)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        self.port = take_port()
        await web.TCPSite(self._runner, HOST, self.port).start()
        self._expiring = asyncio.ensure_future(self._expire_leases())

    async def close(self) -> None:
        self._expiring.cancel()
        await self._runner.cleanup()

    def write(self, key: str, message: object) -> None:
        """Write as the operator or as an engine."""
        self._revision += 1
        self._put(key, base64.b64encode(json.dumps(message).encode()).decode(), 0)
        self._notify()

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self._items.get(key, {}).get('create_revision', self._revision)
        item = {
            'key': key,
            'value': value,
            'rev': self._revision,
            'create_revision': created,
            'lease': lease,
        }
        self._items[key] = item
        self._history.append(item)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._history.append(
                {'key': key, 'rev': self._revision, 'tombstone': True}
            )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _read(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query['key'])
        if item is None:
            return web.json_response({'as_of': self._revision}, status=404)
        return web.json_response({**item, 'as_of': self._revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query['path_prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return web.json_response(
            {
                'items': [self._items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'as_of': self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query['path_prefix']
        after = int(request.query['after'])
        ends = time.monotonic() + int(request.query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event['rev'] > after and event['key'].startswith(prefix)
            ]
            left_s = ends - time.monotonic()
            if events or left_s <= 0:
                return web.json_response(
                    {'events': events, 'as_of': self._revision}
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        rows = body.get('expect_rev', ())
        current = [self._items.get(row['key'], {'rev': 0}) for row in rows]
        if any(item['rev'] != row['rev'] for item, row in zip(current, rows)):
            return web.json_response({'items': current}, status=412)
        writes = body.get('writes', ())
        if any(
            write.get('lease') and write['lease'] not in self._leases
            for write in writes
        ):
            return web.Response(status=404)
        keys = [write['key'] for write in writes] + list(body.get('remove', ()))
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return web.Response(status=403)
        self._revision += 1
        for write in writes:
            self._put(write['key'], write['value'], write.get('lease', 0))
        for key in body.get('remove', ()):
            self._remove(key)
        self._notify()
        return web.json_response({'rev': self._revision})

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())['ttl_ms']
        lease = 77000 + len(self._leases) + self._revision
        self._leases[lease] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _renew(self, request: web.Request) -> web.Response:
        lease = self._leases.get(int(request.match_info['lease']))
        if lease is None:
            return web.Response(status=404)
        lease[1] = time.monotonic() + lease[0] / 1000
        return web.json_response({'ttl_ms': lease[0]})

    async def _end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self._leases:
            return web.Response(status=404)
        self._end_lease(lease)
        return web.json_response({})

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease)
        keys = [k for k, item in self._items.items() if item['lease'] == lease]
        if keys:
            self._revision += 1
        for key in keys:
            self._remove(key)
        self._notify()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends) in tuple(self._leases.items()):
                if ends < now:
                    self._end_lease(lease)


class Message:
    """A request as an engine reads it, or a response as a caller reads it."""

    def __init__(self, first_line: str, headers: dict[str, str]) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = b''

    def get(self, name: str) -> str:
        return self.headers.get(name.lower(), '')


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with its body, by length, in chunks or to the end."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first_line, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    message = Message(first_line, headers)
    if 'chunked' in message.get('Transfer-Encoding'):
        message.body = await _read_chunks(reader)
    elif message.get('Content-Length'):
        message.body = await reader.readexactly(int(message.get('Content-Length')))
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return b''.join(chunks)
        chunks.append(chunk[:-2])


def render(status: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    lines = [f'HTTP/1.1 {status}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Engine:
    """
    An engine that behaves as the pages say; cases override `work`.

    `runs` holds the ids of the requests on which it began to work.
    """

    def __init__(self, *, record: Record, name: str, pool: str, zone: str, slots: int, queue: int = 0) -> None:
        self.record = record
        self.name = name
        self.pool = pool
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self.runs: list[str] = []
        self.address = ''
        self._seq = 0

    async def start(self, store: Store) -> None:
        port = take_port()
        self.address = f'{HOST}:{port}'
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self._beating = asyncio.ensure_future(self._beat(store))

    async def close(self) -> None:
        self._beating.cancel()
        self._server.close()

    def describe(self) -> dict[str, object]:
        self._seq += 1
        return {
            'backend': self.pool,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': self._seq,
        }

    async def work(
        self, request: Message, writer: asyncio.StreamWriter, channel: dict
    ) -> bytes:
        raise NotImplementedError

    async def report(self) -> dict[str, object]:
        return {'waiting': self.waiting, 'busy': self.running, 'free_mb': 8.0}

    def control(self, _target: str, _request: Message) -> bytes | None:
        """Answer a call that needs no slot; None for any other call."""
        return None

    def shed(self, request: Message) -> bytes:
        """Reject a request, since all slots are taken."""
        request_id = request.get('X-Ragworthollow-Request-Id')
        self.record.write(f'{self.name}  {request_id} is shed: 503, not executed')
        echo = {'X-Ragworthollow-Request-Id': request_id} if request_id else {}
        return render(
            '503 Service Unavailable',
            {**echo, **self.get_load(), 'X-Ragworthollow-Not-Executed': '1'},
        )

    async def _beat(self, store: Store) -> None:
        while True:
            store.write(f'servers/{self.name}', self.describe())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel: dict = {}
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request, writer, channel))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter, channel: dict
    ) -> bytes:
        expected = request.get('X-Ragworthollow-Expect-Instance')
        if expected and expected != self.name:
            return render(
                '421 Misdirected Request',
                {'X-Ragworthollow-Instance-Id': self.name},
            )
        method, target, _ = request.first_line.split(' ')
        if (method, target) == ('GET', '/health'):
            return render('200 OK', {'X-Ragworthollow-Instance-Id': self.name})
        if (method, target) == ('GET', '/api/report'):
            return render_json(await self.report())
        answer = self.control(target, request)
        if answer is not None:
            return answer
        if self.running >= self.slots and self.waiting >= self.queue:
            return self.shed(request)
        self.waiting += 1
        async with self._free:
            self.waiting -= 1
            self.running += 1
            try:
                return await self.work(request, writer, channel)
            finally:
                self.running -= 1

    def get_load(self) -> dict[str, str]:
        load = f'{self.running},{self.waiting},{self.slots}'
        return {'X-Ragworthollow-Server-Load': load}


def render_json(message: object, headers: dict[str, str] | None = None) -> bytes:
    fields = {'Content-Type': 'application/json', **(headers or {})}
    return render('200 OK', fields, json.dumps(message).encode())


class Caller:
    """A consumer with one kept channel to a gateway."""

    def __init__(self, *, record: Record, name: str, get_port) -> None:
        self._record = record
        self._get_port = get_port
        self.name = name
        self._count = 0
        self._reader = self._writer = None

    async def send(
        self, method: str, host: str, path: str, *, body: bytes = b'', limit_ms: int,
        headers: dict[str, str] | None = None,
    ) -> tuple[str, Message | None]:
        """Send one request; return its id and the answer, None without one."""
        self._count += 1
        request_id = f'{self.name}{self._count:04d}'
        fields = {
            'Host': host,
            'X-Ragworthollow-Request-Id': request_id,
            'X-Ragworthollow-Deadline-Ms': str(limit_ms),
            'Authorization': f'Bearer {KEY}',
            'Content-Length': str(len(body)),
            **(headers or {}),
        }
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in fields.items()]
        self._record.write(f'consumer   {request_id} sent: {method} {path}')
        try:
            async with asyncio.timeout(limit_ms / 1000 + 0.2):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        HOST, self._get_port()
                    )
                self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
                answer = await read_message(self._reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._record.write(f'consumer   {request_id} no answer: {error!r}')
            self.close()
            return request_id, None
        self._record.write(
            f'consumer   {request_id} answered: {answer.first_line} '
            f'{answer.body[:120]!r}'
        )
        if answer.get('Connection').lower() == 'close':
            self.close()
        return request_id, answer

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._writer = None


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, *, name: str, zone: str, store: Store, folder: Path) -> None:
        self.name = name
        self.front_port = take_port()
        self.ready_port = take_port()
        self._settings = {
            'role': 'gateway',
            'instance': name,
            'failure_domain': zone,
            'regions': ZONES,
            'front_address': f'{HOST}:{self.front_port}',
            'ready_address': f'{HOST}:{self.ready_port}',
            'peer_address': f'{HOST}:{take_port()}',
            'metrics_address': f'{HOST}:{take_port()}',
            'store_url': f'http://{HOST}:{store.port}',
            'grace_s': 8,
            'retry_ratio': 0.2,
            'retry_slack': 52,
            'cpu_share': 0.817,
            'cores': 1,
            'link_mbps': 1000.0,
            'configuration_bound_ms': 2000,
            'leaving_bound_ms': 2000,
            'platform_contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'engine', 'stream', 'tenants', 'platform', 'stages',
            ],
            'instance_heartbeat_ms': HEARTBEAT_MS,
        }
        self._file = folder / f'{name}.yaml'
        self.log = folder / f'{name}.log'
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        # JSON is valid YAML.
        self._file.write_text(json.dumps(self._settings))
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split()
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['RAGWORTHOLLOW_NODE_FILE'] = str(self._file)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        atexit.register(self.end)

    async def wait_until_ready(self, limit_s: float = 15) -> None:
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            if self.process.poll() is not None:
                raise CouldNotRun(f'{self.name} ended: {self.process.returncode}')
            if await is_ready(self):
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f'{self.name} is not ready after {limit_s} s')

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


async def is_ready(gateway: Gateway) -> bool:
    """Ask as the platform does; an answer after a second counts as none."""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(HOST, gateway.ready_port)
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
            answer = await read_message(reader)
            writer.close()
            return ' 200 ' in answer.first_line
    return False


class Balancer:
    """
    The platform's choice of a gateway for a new channel.

    It asks each gateway once a second whether it is ready, and takes one out
    after two misses until it answers 200 again. A zone without a gateway in
    rotation uses those of the other zones.
    """

    def __init__(self, *, record: Record, gateways: list[Gateway]) -> None:
        self._record = record
        self._gateways = gateways
        self._misses = dict.fromkeys((gateway.name for gateway in gateways), 0)
        self._asking = [
            asyncio.ensure_future(self._ask(gateway)) for gateway in gateways
        ]

    def close(self) -> None:
        for task in self._asking:
            task.cancel()

    def get_port(self) -> int:
        for gateway in self._gateways:
            if self._misses[gateway.name] < 2:
                return gateway.front_port
        return self._gateways[0].front_port

    async def _ask(self, gateway: Gateway) -> None:
        while True:
            started = time.monotonic()
            ready = await is_ready(gateway)
            self._misses[gateway.name] = 0 if ready else self._misses[gateway.name] + 1
            if not ready:
                self._record.write(
                    f'platform   {gateway.name} misses a ready check '
                    f'({self._misses[gateway.name]} in a row)'
                )
            await asyncio.sleep(max(0, 1 - (time.monotonic() - started)))


_PORTS: set[int] = set()


def take_port() -> int:
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _PORTS:
            _PORTS.add(port)
            return port


def make_configuration(routes: list[dict], services: list[dict], version: int = 7) -> dict:
    return {
        'version': version,
        'routes': [
            {'priority': 1, 'public': False, 'sticky': False, 'can_resume': False, **route}
            for route in routes
        ],
        'services': [
            {'health_path': '/health', 'max_conns': 96, 'protocol': 'h1', 'tls': False, **service}
            for service in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


class Deployment:
    """A store, engines and gateways; ends all of them on exit."""

    def __init__(self, case: str) -> None:
        self.record = Record(Path(case).resolve().parent)
        self.store = Store()
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []
        self._folder = tempfile.TemporaryDirectory(prefix='review-')

    async def __aenter__(self) -> 'Deployment':
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for gateway in self.gateways:
            gateway.end()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        self._folder.cleanup()

    async def add_engines(self, *engines: Engine) -> None:
        for engine in engines:
            await engine.start(self.store)
            self.engines.append(engine)

    async def start_gateways(self, zones: list[str]) -> None:
        for zone in zones:
            name = f'front-{zone}-{len(self.gateways) + 1}'
            gateway = Gateway(
                name=name, zone=zone, store=self.store, folder=Path(self._folder.name)
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()


def run(case) -> None:
    """Run the coroutine function of a case and exit with its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_COULD_NOT_RUN))
    try:
        code = asyncio.run(asyncio.wait_for(case(), 110))
    except Exception as error:  # noqa: BLE001
        print(f'could not run: {error!r}')
        code = EXIT_COULD_NOT_RUN
    sys.exit(code)
