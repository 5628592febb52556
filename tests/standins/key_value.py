"""Stand in for the platform's store: keys, leases, watches, history."""

import asyncio
import base64
import time

import msgspec
from aiohttp import web

from tests.standins.faults import Faults, drop
from tests.standins.thin_link import send_slowly

_PAGE_SIZE = 500
_TXN_PATH = '/api/kv-txn'
_TIMELINE_HEADER = 'Store-Era'


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


def _send_half(
    request: web.Request, response: web.Response
) -> web.StreamResponse:
    """Send half of a body without a length and close the connection."""
    head = f'HTTP/1.1 {response.status} OK\r\n\r\n'.encode()
    body = response.body or b''
    request.transport.write(head + body[: len(body) // 2])
    request.transport.close()
    return response


class KeyValueStandin:
    """
    Store keys, leases and watches in memory, and count calls by path.

    Faults in addition to the common ones: `mute` accepts calls and never
    responds, `refuse` responds with 503 without executing the call, `deaf`
    hides changes from watches, `down_after_manifest` fails permanently after
    a configuration of the project's own operators was written, `bytes_per_s`
    limits the bandwidth of each response, and `stall` stops in the middle of
    a response.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.revision = 1
        self.compacted_revision = 0
        self.entries: dict[str, Entry] = {}
        # TTL in milliseconds and expiry on time.monotonic(), by lease.
        self.leases: dict[int, list[float]] = {}
        self.last_lease = 0
        self.history: list[tuple[int, dict]] = []
        # Set by the next change, and then replaced by another one.
        self._next_change = asyncio.Event()
        self.counts: dict[str, int] = {}
        self.sent_bytes = 0
        self.timeline = 0

    def save(self) -> tuple[int, dict[str, Entry], set[int]]:
        """Return a backup for `restore`."""
        return self.revision, dict(self.entries), set(self.leases)

    def restore(self, backup: tuple[int, dict[str, Entry], set[int]]) -> None:
        """Restore a backup; revisions after it are assigned again."""
        self.revision, entries, leases = backup
        self.entries = dict(entries)
        self.leases = {
            lease: lease_state
            for lease, lease_state in self.leases.items()
            if lease in leases
        }
        self.history.clear()
        self.compacted_revision = self.revision
        self.timeline += 1

    def put_bytes(self, key: str, value: bytes) -> None:
        """Store a raw value, as another application may write it."""
        self.revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)

    def grant_lease(self, ttl_ms: float) -> int:
        """Grant a lease that was never granted before, also after a restart."""
        self.last_lease = max(self.last_lease + 1, int(time.time() * 1000))
        self.leases[self.last_lease] = [
            ttl_ms,
            time.monotonic() + ttl_ms / 1000,
        ]
        return self.last_lease

    def make_application(self) -> web.Application:
        application = web.Application(client_max_size=16_000_000)
        self.faults.add_to(application)
        router = application.router
        router.add_get('/counts', self._get_counts)
        router.add_post('/compact', self._compact)
        router.add_post('/operator', self._write_as_operator)
        router.add_get('/api/kv-key', self._wrap(self._read))
        router.add_get('/api/kv-range', self._wrap(self._range))
        router.add_get('/api/kv-watch', self._wrap(self._watch))
        router.add_post(_TXN_PATH, self._wrap(self._txn))
        router.add_post('/api/kv-lease', self._wrap(self._grant))
        router.add_post('/api/kv-keep/{lease}', self._wrap(self._renew))
        router.add_delete('/api/kv-lease-end/{lease}', self._wrap(self._revoke))
        application.cleanup_ctx.append(self._run_lease_expiry)
        return application

    def _wrap(self, handler):
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
            response = await handler(request)
            response.headers.update(self._get_headers())
            if path == _TXN_PATH and self.faults.has('lose_answer'):
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
        if self.faults.has('cut'):
            return _send_half(request, response)
        if rate:
            return await send_slowly(request, response, rate, self._record_sent)
        self._record_sent(len(response.body or b''))
        return response

    def _get_headers(self) -> dict[str, str]:
        return {_TIMELINE_HEADER: str(self.timeline)}

    def _record_sent(self, size: int) -> None:
        self.sent_bytes += size

    async def _get_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(self.counts)

    async def _compact(self, _request: web.Request) -> web.Response:
        self.compacted_revision = self.revision
        self.history.clear()
        self.notify_watchers()
        return web.Response()

    async def _write_as_operator(self, request: web.Request) -> web.Response:
        """Write keys that clients may not; a null value removes a key."""
        body = msgspec.json.decode(await request.read())
        self.revision += 1
        for key, text in body.items():
            if text is None:
                self._remove(key)
            else:
                self._put(key, base64.b64encode(text.encode()).decode(), 0)
        self.notify_watchers()
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
        page = keys[:_PAGE_SIZE]
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
        end_s = time.monotonic() + int(request.query['wait_ms']) / 1000
        while True:
            if self.faults.active.get('down'):
                return drop(request)
            if after < self.compacted_revision or after > self.revision:
                return web.Response(status=410)
            events = self._find_events(prefix, after)
            remaining_s = end_s - time.monotonic()
            if events or remaining_s <= 0:
                return web.json_response(
                    {'events': events, 'as_of': self.revision},
                )
            await self.wait_for_change(min(remaining_s, 0.1))

    def _find_events(self, prefix: str, after: int) -> list[dict]:
        if self.faults.active.get('deaf'):
            return []
        return [
            event
            for revision, event in self.history
            if revision > after and event['key'].startswith(prefix)
        ]

    async def wait_for_change(self, seconds: float) -> None:
        """Wait for the next change; a cancelled wait leaves nothing behind."""
        try:
            async with asyncio.timeout(seconds):
                await self._next_change.wait()
        except TimeoutError:
            return

    def notify_watchers(self) -> None:
        self._next_change.set()
        self._next_change = asyncio.Event()

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
        if self._triggers_outage(body):
            self.faults.active = {'down': 1}
        self.notify_watchers()
        return web.json_response({'rev': self.revision})

    def _triggers_outage(self, body: dict) -> bool:
        """Tell whether the store must fail after this transaction."""
        if not self.faults.active.get('down_after_manifest'):
            return False
        return any(
            write['key'].endswith('config/manifest') for write in body['writes']
        )

    def _put(self, key: str, encoded: str, lease: int) -> None:
        previous = self.entries.get(key)
        created = previous.created if previous else self.revision
        self.entries[key] = Entry(encoded, self.revision, created, lease)
        self.history.append((self.revision, self.entries[key].render(key)))

    def _remove(self, key: str) -> None:
        if self.entries.pop(key, None) is not None:
            event = {'key': key, 'rev': self.revision, 'tombstone': True}
            self.history.append((self.revision, event))

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())['ttl_ms']
        lease = self.grant_lease(ttl_ms)
        return web.json_response({'lease': lease, 'ttl_ms': ttl_ms})

    async def _renew(self, request: web.Request) -> web.Response:
        lease_state = self.leases.get(int(request.match_info['lease']))
        if lease_state is None:
            return web.Response(status=404)
        lease_state[1] = time.monotonic() + lease_state[0] / 1000
        return web.json_response({'ttl_ms': lease_state[0]})

    async def _revoke(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.Response(status=404)
        await self._revoke_lease(lease)
        return web.json_response({})

    async def _revoke_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        orphaned_keys = [
            key for key, entry in self.entries.items() if entry.lease == lease
        ]
        if orphaned_keys:
            self.revision += 1
        for key in orphaned_keys:
            self._remove(key)
        self.notify_watchers()

    async def _run_lease_expiry(self, _application: web.Application):
        async def loop() -> None:
            while True:
                await asyncio.sleep(0.05)
                # Leases don't expire while the store itself is unavailable:
                # it extends them when it is available again.
                now = time.monotonic()
                if self.faults.active.get('down'):
                    for lease_state in self.leases.values():
                        lease_state[1] = max(
                            lease_state[1], now + lease_state[0] / 1000
                        )
                for lease, lease_state in list(self.leases.items()):
                    if lease_state[1] < now:
                        await self._revoke_lease(lease)

        task = asyncio.ensure_future(loop())
        yield
        task.cancel()
