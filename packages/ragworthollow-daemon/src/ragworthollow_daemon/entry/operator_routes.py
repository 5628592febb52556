"""Serve operators."""

import asyncio
import hmac
import re

import msgspec
from aiohttp import ClientError, web

from ragworthollow.conf import global_settings
from ragworthollow.configuration.change_request import (
    ChangeAnswer,
    ChangeRequest,
)
from ragworthollow.configuration.publisher import Publisher
from ragworthollow.configuration.snapshot import Snapshot
from ragworthollow.logs.events import log_event
from ragworthollow.membership.process_status import ProcessStatus
from ragworthollow.outcomes import Reason
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils import get_wall_ms, hash_secret
from ragworthollow_daemon.process_context import ProcessContext, get_timeout
from ragworthollow_daemon.web.configuration_routes import Announcement

OPERATOR_HEADER = 'X-Ragworthollow-Operator-Key'

_KEY_HASH = re.compile('[0-9a-f]{64}')
_REDACTED = 'redacted'
_STATUSES = {
    Reason.conflict: 409,
    Reason.unauthorized: 403,
    Reason.invalid_configuration: 422,
    Reason.platform_unavailable: 503,
}
_CHANGE_BODY_BYTES = 8_000_000


class OperatorRoutes:
    """
    Receive changes and show what is in force.

    Parameters
    ----------
    context : ProcessContext
        Of this process; its settings list the operators.
    """

    def __init__(self, *, context: ProcessContext) -> None:
        self._context = context
        self._publisher = Publisher(
            key_value=context.key_value,
            store=context.store,
            get_wall_ms=get_wall_ms,
        )

    def add_to(self, application: web.Application) -> None:
        """Add the routes."""
        router = application.router
        router.add_get('/v1/operator/snapshot', self.get_snapshot)
        router.add_get('/v1/operator/fleet', self.get_fleet)
        router.add_post('/v1/operator/changes', self.change)

    async def change(self, request: web.Request) -> web.Response:
        """Apply one change of configuration."""
        operator = self._identify(request)
        if operator is None:
            return _refuse_unknown()
        request = request.clone(client_max_size=_CHANGE_BODY_BYTES)
        try:
            change = msgspec.json.decode(
                await request.read(),
                type=ChangeRequest,
            )
        except msgspec.DecodeError as error:
            return respond(
                ChangeAnswer(
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
        return respond(answer, status=_STATUSES.get(answer.reason, 200))

    async def get_snapshot(self, request: web.Request) -> web.Response:
        """Show the generation in force, other owners' key hashes hidden."""
        operator = self._identify(request)
        if operator is None:
            return _refuse_unknown()
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
        """Show the generation in force in every listed process."""
        if self._identify(request) is None:
            return _refuse_unknown()
        lines = await asyncio.gather(
            *(
                self._ask_generation(one.instance, one.address)
                for one in self._context.peers.listed.instances
            ),
        )
        return respond(lines)

    def _identify(self, request: web.Request) -> str | None:
        presented = hash_secret(request.headers.get(OPERATOR_HEADER, ''))
        for operator in self._context.settings.operators:
            if hmac.compare_digest(presented, operator.key_sha256):
                return operator.name
        self._context.metrics.count_event('unauthenticated_operator')
        return None

    async def _announce(self, generation: int) -> None:
        """
        Push an accepted change to the watchers of every failure domain.

        The platform may fail right after it has accepted a change, before
        any watch has told of it; this process holds the change and must not
        be the only one that does.
        """
        message = msgspec.json.encode(
            Announcement(
                generation=generation,
                address=self._context.settings.listen.get_address(),
            ),
        )
        watchers = self._context.peers.get_all_watchers()
        await asyncio.gather(
            *(self._push(one.address, message) for one in watchers),
        )

    async def _push(self, address: str, message: bytes) -> None:
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

    async def _ask_generation(
        self, instance: str, address: str
    ) -> ProcessStatus:
        line = ProcessStatus(instance=instance, address=address)
        try:
            async with self._context.session.get(
                f'http://{address}/status',
                timeout=get_timeout(global_settings.PLATFORM_TIMEOUT_MS),
            ) as response:
                body = await response.read()
        except (TimeoutError, ClientError, OSError):
            return line
        known = msgspec.json.decode(body, type=ProcessStatus)
        return msgspec.structs.replace(line, generation=known.generation)


def _redact(text: str, *, is_own: bool) -> str:
    return text if is_own else _KEY_HASH.sub(_REDACTED, text)


def _refuse_unknown() -> web.Response:
    return respond(Problem(error='unknown operator key'), status=401)
