"""Stand in for the platform's store: keys, leases, watches, history."""

import asyncio
import base64
import time

import msgspec
from aiohttp import web

from tests.standins.faults import Faults, drop
from tests.standins.thin_link import send_slowly

_PAGE = 500
_TXN = '/api/kv-txn'
_TIMELINE = 'Store-Era'


class Entry:
    def __init__(self, value: str, revision: int, created: int, lease: int):
        self.value = value
        self.revision = revision
        self.created = created
        self.lease = lease

    def render(self, key: str) -> dict[str, object]:
        return {
            'key': key,
            'value': self.value,
            'rev': self.revision,
            'create_revision': self.created,
            'lease': self.lease,
        }


class KeyValueStandin:
    """
    Keep keys, leases and watches in memory, and count every call.

    Faults beside the common ones: `mute` takes calls and never answers,
    `refuse` answers 503 without doing anything, `deaf` leaves watches
    waiting while changes are made, `down_after_manifest` fails for good
    after a configuration of the project's own operators was written,
    `bytes_per_s` is what the link to a caller carries, and `stall` falls
    silent in the middle of an answer.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.revision = 1
        self.oldest = 0
        self.entries: dict[str, Entry] = {}
        self.leases: dict[int, list[float]] = {}
        self.history: list[tuple[int, dict]] = []
        self.changed = asyncio.Condition()
        self.counts: dict[str, int] = {}
        self.sent_bytes = 0
        self.timeline = 0

    def save(self) -> tuple[int, dict[str, Entry], set[int]]:
        """Make a copy, to be restored later."""
        return self.revision, dict(self.entries), set(self.leases)

    def restore(self, saved: tuple[int, dict[str, Entry], set[int]]) -> None:
        """Come back from a copy: revisions are given out again."""
        self.revision, entries, leases = saved
        self.entries = dict(entries)
        self.leases = {
            lease: known
            for lease, known in self.leases.items()
            if lease in leases
        }
        self.history.clear()
        self.oldest = self.revision
        self.timeline += 1

    def put_bytes(self, key: str, found: bytes) -> None:
        """Keep a value of somebody else."""
        self.revision += 1
        self._put(key, base64.b64encode(found).decode(), 0)

    def make_application(self) -> web.Application:
        application = web.Application(client_max_size=16_000_000)
        self.faults.add_to(application)
        router = application.router
        router.add_get('/counts', self._show_counts)
        router.add_post('/compact', self._compact)
        router.add_post('/operator', self._write_as_operator)
        router.add_get('/api/kv-key', self._wrap(self._read))
        router.add_get('/api/kv-range', self._wrap(self._range))
        router.add_get('/api/kv-watch', self._wrap(self._watch))
        router.add_post(_TXN, self._wrap(self._txn))
        router.add_post('/api/kv-lease', self._wrap(self._grant))
        router.add_post('/api/kv-keep/{lease}', self._wrap(self._renew))
        router.add_delete('/api/kv-lease-end/{lease}', self._wrap(self._end))
        application.cleanup_ctx.append(self._expire)
        return application

    def _wrap(self, answer):
        async def serve(request: web.Request) -> web.Response:
            path = request.path
            self.counts[path] = self.counts.get(path, 0) + 1
            if self.faults.has('down'):
                return drop(request)
            if self.faults.has('mute'):
                await asyncio.Event().wait()
            if self.faults.has('refuse'):
                return web.Response(status=503, headers=self._get_headers())
            await self.faults.delay()
            response = await answer(request)
            response.headers.update(self._get_headers())
            if path == _TXN and self.faults.has('lose_answer'):
                return drop(request)
            return await self._send(request, response)

        return serve

    async def _send(
        self,
        request: web.Request,
        response: web.Response,
    ) -> web.StreamResponse:
        rate = self.faults.active.get('bytes_per_s')
        if self.faults.has('stall'):
            return await send_slowly(request, response, 0)
        if rate:
            return await send_slowly(request, response, rate, self._note_sent)
        self._note_sent(len(response.body or b''))
        return response

    def _get_headers(self) -> dict[str, str]:
        return {_TIMELINE: str(self.timeline)}

    def _note_sent(self, size: int) -> None:
        self.sent_bytes += size

    async def _show_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(self.counts)

    async def _compact(self, _request: web.Request) -> web.Response:
        self.oldest = self.revision
        self.history.clear()
        await self._tell()
        return web.Response()

    async def _write_as_operator(self, request: web.Request) -> web.Response:
        """Write or, without a value, remove keys that clients may not."""
        body = msgspec.json.decode(await request.read())
        self.revision += 1
        for key, text in body.items():
            if text is None:
                self._remove(key)
            else:
                self._put(key, base64.b64encode(text.encode()).decode(), 0)
        await self._tell()
        return web.json_response({'rev': self.revision})

    async def _read(self, request: web.Request) -> web.Response:
        key = request.query['key']
        entry = self.entries.get(key)
        if entry is None:
            return web.json_response({'as_of': self.revision}, status=404)
        return web.json_response(
            {**entry.render(key), 'as_of': self.revision},
        )

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query['path_prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        page = keys[:_PAGE]
        return web.json_response(
            {
                'items': [self.entries[key].render(key) for key in page],
                'has_more': len(keys) > len(page),
                'as_of': self.revision,
            },
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query['path_prefix']
        after = int(request.query['after'])
        end = time.monotonic() + int(request.query['wait_ms']) / 1000
        while True:
            if self.faults.active.get('down'):
                return drop(request)
            if after < self.oldest or after > self.revision:
                return web.Response(status=410)
            found = self._find_events(prefix, after)
            left = end - time.monotonic()
            if found or left <= 0:
                return web.json_response(
                    {'events': found, 'as_of': self.revision},
                )
            await self._wait(min(left, 0.1))

    def _find_events(self, prefix: str, after: int) -> list[dict]:
        if self.faults.active.get('deaf'):
            return []
        return [
            event
            for revision, event in self.history
            if revision > after and event['key'].startswith(prefix)
        ]

    async def _wait(self, seconds: float) -> None:
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait(), seconds)
            except TimeoutError:
                return

    async def _tell(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def _txn(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        current = {row['key']: row['rev'] for row in body['expect_rev']}
        for key, expected in current.items():
            entry = self.entries.get(key)
            if (entry.revision if entry else 0) != expected:
                return web.json_response({'items': []}, status=412)
        leases = {write['lease'] for write in body['writes']} - {0}
        if not leases <= self.leases.keys():
            return web.Response(status=404)
        self.revision += 1
        for write in body['writes']:
            self._put(write['key'], write['value'], write['lease'])
        for key in body['remove']:
            self._remove(key)
        if self._has_manifest(body):
            self.faults.active = {'down': 1}
        await self._tell()
        return web.json_response({'rev': self.revision})

    def _has_manifest(self, body: dict) -> bool:
        """Tell whether the store is to fail after this very write."""
        if not self.faults.active.get('down_after_manifest'):
            return False
        return any(
            write['key'].endswith('config/manifest') for write in body['writes']
        )

    def _put(self, key: str, encoded: str, lease: int) -> None:
        known = self.entries.get(key)
        created = known.created if known else self.revision
        self.entries[key] = Entry(encoded, self.revision, created, lease)
        self.history.append((self.revision, self.entries[key].render(key)))

    def _remove(self, key: str) -> None:
        if self.entries.pop(key, None) is not None:
            event = {'key': key, 'rev': self.revision, 'tombstone': True}
            self.history.append((self.revision, event))

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())['ttl_ms']
        lease = len(self.leases) + int(time.time() * 1000)
        self.leases[lease] = [ttl_ms, time.monotonic() + ttl_ms / 1000]
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _renew(self, request: web.Request) -> web.Response:
        known = self.leases.get(int(request.match_info['lease']))
        if known is None:
            return web.Response(status=404)
        known[1] = time.monotonic() + known[0] / 1000
        return web.json_response({'ttl_ms': known[0]})

    async def _end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.Response(status=404)
        await self._end_lease(lease)
        return web.json_response({})

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        dead = [
            key for key, entry in self.entries.items() if entry.lease == lease
        ]
        if dead:
            self.revision += 1
        for key in dead:
            self._remove(key)
        await self._tell()

    async def _expire(self, _application: web.Application):
        async def loop() -> None:
            while True:
                await asyncio.sleep(0.05)
                # Leases don't lapse while the store itself is away: it
                # prolongs them when it comes back.
                now = time.monotonic()
                if self.faults.active.get('down'):
                    for known in self.leases.values():
                        known[1] = max(known[1], now + known[0] / 1000)
                for lease, known in list(self.leases.items()):
                    if known[1] < now:
                        await self._end_lease(lease)

        task = asyncio.ensure_future(loop())
        yield
        task.cancel()
