"""Stand in for the key-value service: the JSON gateway of etcd v3."""

import asyncio
import base64
import time

import msgspec
from aiohttp import web

from tests.standins.faults import Faults, drop


class Entry:
    def __init__(self, value: str, revision: int, created: int, lease: int):
        self.value = value
        self.mod_revision = revision
        self.create_revision = created
        self.lease = lease

    def render(self, key: bytes) -> dict[str, str]:
        return {
            'key': base64.b64encode(key).decode(),
            'value': self.value,
            'mod_revision': str(self.mod_revision),
            'create_revision': str(self.create_revision),
            'lease': str(self.lease),
        }


class KeyValueStandin:
    """Keep keys, leases and watches in memory, and count every call."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.revision = 1
        self.entries: dict[bytes, Entry] = {}
        self.leases: dict[int, list[float]] = {}
        self.watchers: list[tuple[bytes, asyncio.Queue]] = []
        self.log: list[tuple[int, bytes, dict]] = []
        self.counts: dict[str, int] = {}

    def make_application(self) -> web.Application:
        application = web.Application(client_max_size=16_000_000)
        self.faults.add_to(application)
        application.router.add_get('/counts', self._show_counts)
        application.router.add_post('/v3/watch', self._watch)
        for path, answer in (
            ('/v3/kv/range', self._range),
            ('/v3/kv/txn', self._txn),
            ('/v3/lease/grant', self._grant),
            ('/v3/lease/keepalive', self._keep_alive),
            ('/v3/lease/revoke', self._revoke),
        ):
            application.router.add_post(path, self._wrap(path, answer))
        application.cleanup_ctx.append(self._expire)
        return application

    def _wrap(self, path: str, answer):
        async def serve(request: web.Request) -> web.Response:
            body = msgspec.json.decode(await request.read())
            self.counts[path] = self.counts.get(path, 0) + 1
            if self.faults.has('down'):
                return drop(request)
            await self.faults.delay()
            reply = answer(body)
            is_write = path == '/v3/kv/txn'
            if is_write and self.faults.has('lose_answer'):
                return drop(request)
            if is_write and self._is_manifest(body):
                self.faults.active = {'down': 1}
            reply['header'] = {'revision': str(self.revision)}
            return web.json_response(reply)

        return serve

    def _is_manifest(self, body: dict) -> bool:
        """Tell whether the service is to fail after this very write."""
        if not self.faults.active.get('down_after_manifest'):
            return False
        keys = [
            base64.b64decode(operation['requestPut']['key'])
            for operation in body.get('success', ())
        ]
        return any(key.endswith(b'config/manifest') for key in keys)

    async def _show_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {**self.counts, 'waiting_watches': len(self.watchers)},
        )

    def _range(self, body: dict) -> dict:
        start = base64.b64decode(body['key'])
        end = base64.b64decode(body.get('range_end', ''))
        found = [
            entry.render(key)
            for key, entry in sorted(self.entries.items())
            if key == start or (end and start <= key < end)
        ]
        return {'kvs': found, 'count': str(len(found))}

    def _txn(self, body: dict) -> dict:
        if not all(map(self._holds, body.get('compare', ()))):
            return {'succeeded': False}
        self.revision += 1
        for operation in body.get('success', ()):
            self._put(operation['requestPut'])
        return {'succeeded': True}

    def _holds(self, compare: dict) -> bool:
        entry = self.entries.get(base64.b64decode(compare['key']))
        field = f'{compare["target"].lower()}_revision'
        actual = getattr(entry, field) if entry else 0
        return actual == int(compare[field])

    def _put(self, put: dict) -> None:
        key = base64.b64decode(put['key'])
        lease = int(put.get('lease', '0'))
        known = self.entries.get(key)
        created = known.create_revision if known else self.revision
        entry = Entry(put['value'], self.revision, created, lease)
        self.entries[key] = entry
        self._tell(key, {'kv': entry.render(key)})

    def _tell(self, key: bytes, event: dict) -> None:
        self.log.append((self.revision, key, event))
        for watched, queue in self.watchers:
            if watched == key:
                queue.put_nowait(event)

    def _grant(self, body: dict) -> dict:
        lease = len(self.leases) + int(time.time() * 1000)
        seconds = int(body['TTL'])
        self.leases[lease] = [seconds, time.monotonic() + seconds]
        return {'ID': str(lease), 'TTL': str(seconds)}

    def _keep_alive(self, body: dict) -> dict:
        lease = int(body['ID'])
        known = self.leases.get(lease)
        if known is None:
            return {'result': {'ID': str(lease), 'TTL': '0'}}
        known[1] = time.monotonic() + known[0]
        return {'result': {'ID': str(lease), 'TTL': str(int(known[0]))}}

    def _revoke(self, body: dict) -> dict:
        self._end_lease(int(body['ID']))
        return {}

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        dead = [
            key for key, entry in self.entries.items() if entry.lease == lease
        ]
        if dead:
            self.revision += 1
        for key in dead:
            self.entries.pop(key)
            self._tell(key, {'type': 'DELETE', 'kv': {}})

    async def _expire(self, _application: web.Application):
        async def loop() -> None:
            while True:
                await asyncio.sleep(0.05)
                # Leases don't lapse while the service itself is away: it
                # prolongs them when it comes back.
                now = time.monotonic()
                if self.faults.active.get('down'):
                    for known in self.leases.values():
                        known[1] = max(known[1], now + known[0])
                for lease, known in list(self.leases.items()):
                    if known[1] < now:
                        self._end_lease(lease)

        task = asyncio.ensure_future(loop())
        yield
        task.cancel()

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.counts['/v3/watch'] = self.counts.get('/v3/watch', 0) + 1
        if self.faults.has('down'):
            return drop(request)
        body = msgspec.json.decode(await request.read())['create_request']
        key = base64.b64decode(body['key'])
        start = int(body.get('start_revision', '0'))
        queue: asyncio.Queue = asyncio.Queue()
        for revision, changed, event in self.log:
            if changed == key and start and revision >= start:
                queue.put_nowait(event)
        watcher = (key, queue)
        self.watchers.append(watcher)
        response = web.StreamResponse()
        try:
            await response.prepare(request)
            await response.write(b'{"result":{"created":true}}\n')
            while True:
                await self._send_event(response, queue)
        except (ConnectionError, asyncio.CancelledError):
            return response
        finally:
            self.watchers.remove(watcher)

    async def _send_event(
        self,
        response: web.StreamResponse,
        queue: asyncio.Queue,
    ) -> None:
        try:
            event = await asyncio.wait_for(queue.get(), 0.1)
        except TimeoutError:
            if self.faults.active.get('down'):
                raise ConnectionError from None
            return
        if self.faults.active.get('down'):
            raise ConnectionError
        line = msgspec.json.encode({'result': {'events': [event]}}).decode()
        await response.write(f'{line}\n'.encode())
