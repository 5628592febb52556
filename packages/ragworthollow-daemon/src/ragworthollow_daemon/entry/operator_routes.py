"""Serve the operator API."""

import asyncio
import hmac
import re

import msgspec
from aiohttp import ClientError, web

from ragworthollow.conf import global_settings
from ragworthollow.configuration.change_request import (
    ChangeRequest,
    ChangeResponse,
)
from ragworthollow.configuration.publisher import Publisher
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.logs.events import log_event
from ragworthollow.membership.process_status import ProcessStatus
from ragworthollow.outcomes import Reason
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils import decode_json, get_wall_ms, hash_secret
from ragworthollow_daemon.process_context import ProcessContext, get_timeout
from ragworthollow_daemon.web.configuration_routes import Announcement

OPERATOR_HEADER = 'X-Ragworthollow-Operator-Key'

_KEY_HASH = re.compile('[0-9a-f]{64}')
_REDACTED = 'redacted'
_STATUS_BY_REASON = {
    Reason.conflict: 409,
    Reason.unauthorized: 403,
    Reason.invalid_configuration: 422,
    Reason.platform_unavailable: 503,
}
_MAX_CHANGE_BYTES = 8_000_000


class OperatorRoutes:
    """
    Accept configuration changes and show the active configuration.

    Parameters
    ----------
    context : ProcessContext
        Context of this process; its settings list the operators.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context
        self._publisher = Publisher(
            key_value=context.key_value,
            store=context.store,
            get_wall_ms=get_wall_ms,
        )

    def add_to(self, application: web.Application) -> None:
        """Add the routes to an application."""
        router = application.router
        router.add_get('/v1/operator/snapshot', self.get_snapshot)
        router.add_get('/v1/operator/fleet', self.get_fleet)
        router.add_post('/v1/operator/changes', self.change)

    async def change(self, request: web.Request) -> web.Response:
        """Apply one configuration change."""
        operator = self._authenticate(request)
        if operator is None:
            return _refuse_unauthenticated()
        with self._context.drain.serving(peer=operator):
            return await self._change(request, operator)

    async def get_snapshot(self, request: web.Request) -> web.Response:
        """Show the active generation with other owners' key hashes redacted."""
        operator = self._authenticate(request)
        if operator is None:
            return _refuse_unauthenticated()
        snapshot = self._context.store.get_snapshot(0)
        texts = {
            entry.sha256: _redact(
                snapshot.files_by_sha256[entry.sha256],
                is_own=entry.owner == operator,
            )
            for entry in snapshot.manifest.files
        }
        return respond(
            Snapshot(manifest=snapshot.manifest, files_by_sha256=texts),
        )

    async def get_fleet(self, request: web.Request) -> web.Response:
        """Show the active generation of every listed process."""
        if self._authenticate(request) is None:
            return _refuse_unauthenticated()
        statuses = await asyncio.gather(
            *(
                self._fetch_generation(entry.instance, entry.address)
                for entry in self._context.peers.listed.instances
            ),
        )
        return respond(statuses)

    def _authenticate(self, request: web.Request) -> str | None:
        presented = hash_secret(request.headers.get(OPERATOR_HEADER, ''))
        for operator in self._context.settings.operators:
            if hmac.compare_digest(presented, operator.key_sha256):
                return operator.name
        self._context.metrics.count_event('unauthenticated_operator')
        return None

    async def _change(
        self, request: web.Request, operator: str
    ) -> web.Response:
        request = request.clone(client_max_size=_MAX_CHANGE_BYTES)
        try:
            change = decode_json(
                await request.read(),
                ChangeRequest,
            )
        except msgspec.DecodeError as error:
            return respond(
                ChangeResponse(
                    accepted=False,
                    reason=Reason.bad_request,
                    detail=str(error),
                ),
                status=400,
            )
        answer = await self._publisher.publish(operator, change)
        log_event(
            'configuration_change',
            step='operator',
            peer=operator,
            accepted=answer.accepted,
            generation=answer.generation,
            reason=answer.reason,
        )
        if answer.accepted:
            self._context.spawn(self._announce(answer.generation))
        return respond(answer, status=_STATUS_BY_REASON.get(answer.reason, 200))

    async def _announce(self, generation: int) -> None:
        """
        Announce an accepted change to the watchers of all failure domains.

        The platform may fail right after it has accepted a change, before
        any watch has delivered it. This process must not remain the only
        one that has the change.
        """
        message = msgspec.json.encode(
            Announcement(
                generation=generation,
                address=self._context.settings.listen.get_address(),
            ),
        )
        watchers = self._context.peers.get_all_watchers()
        with self._context.drain.serving(
            peer=self._context.settings.instance,
        ):
            await asyncio.gather(
                *(
                    self._send_announcement(watcher.address, message)
                    for watcher in watchers
                ),
            )

    async def _send_announcement(self, address: str, message: bytes) -> None:
        try:
            await self._context.session.post(
                f'http://{address}/v1/configuration/announcements',
                data=message,
                timeout=get_timeout(global_settings.PLATFORM_TIMEOUT_MS),
            )
        except (TimeoutError, ClientError, OSError) as error:
            log_event(
                'announcement_failed',
                step='configuration',
                peer=address,
                error=type(error).__name__,
            )

    async def _fetch_generation(
        self, instance: str, address: str
    ) -> ProcessStatus:
        status = ProcessStatus(instance=instance, address=address)
        try:
            async with self._context.session.get(
                f'http://{address}/status',
                timeout=get_timeout(global_settings.PLATFORM_TIMEOUT_MS),
            ) as response:
                reported = decode_json(
                    await read_bounded(
                        response, global_settings.MAX_MESSAGE_BYTES
                    ),
                    ProcessStatus,
                )
        except (TimeoutError, ClientError, OSError, msgspec.DecodeError):
            return status
        return msgspec.structs.replace(status, generation=reported.generation)


def _redact(text: str, *, is_own: bool) -> str:
    return text if is_own else _KEY_HASH.sub(_REDACTED, text)


def _refuse_unauthenticated() -> web.Response:
    return respond(Problem(error='unknown operator key'), status=401)
