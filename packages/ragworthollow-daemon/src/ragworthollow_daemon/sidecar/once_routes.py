"""Serve key lookups and the requests of other members."""

import msgspec
from aiohttp import web

from ragworthollow.once import KeyRegistry, Ownership
from ragworthollow.once.peer_messages import (
    MemberReply,
    MemberRequest,
    RecordTransfer,
)
from ragworthollow.once.promises import make_reply
from ragworthollow.transport import OnceKey
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils import (
    decode_json,
    get_monotonic_ms,
    parse_decimal,
)
from ragworthollow_daemon.sidecar.once_agent import OnceAgent
from ragworthollow_daemon.sidecar.once_executor import OnceExecutor

_MAX_WAIT_MS = 10_000.0


class OnceRoutes:
    """
    Handle requests of entries and members about keys.

    Parameters
    ----------
    executor : OnceExecutor
        Runs and records calls with a once key.
    agent : OnceAgent
        Reads the assignment.
    ownership : Ownership
        Decides whether to grant promises.
    registry : KeyRegistry
        Receives transferred records.
    """

    def __init__(
        self,
        *,
        executor: OnceExecutor,
        agent: OnceAgent,
        ownership: Ownership,
        registry: KeyRegistry,
    ) -> None:
        self._executor = executor
        self._agent = agent
        self._ownership = ownership
        self._registry = registry

    def add_to(self, application: web.Application) -> None:
        """Register the routes."""
        router = application.router
        router.add_get('/v1/once/assignment', self.get_assignment)
        router.add_post('/v1/once/lookups', self.look_up)
        router.add_post('/v1/once/promises', self.promise)
        router.add_post('/v1/once/introductions', self.introduce)
        router.add_post('/v1/once/records', self.receive_records)

    async def get_assignment(self, _request: web.Request) -> web.Response:
        """Return the assignment as last read by this process."""
        return respond(self._ownership.assignment)

    async def look_up(self, request: web.Request) -> web.Response:
        """Return the state of a key, waiting while its call runs."""
        try:
            once = decode_json(await request.read(), OnceKey)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=400)
        wait_ms = parse_decimal(request.query.get('wait_ms', '0'))
        if wait_ms is None:
            return respond(Problem(error='wait_ms is no number'), status=400)
        answer = await self._executor.look_up(
            once,
            min(wait_ms, _MAX_WAIT_MS),
        )
        return respond(answer)

    async def promise(self, request: web.Request) -> web.Response:
        """Promise a member not to take over from it for a while."""
        peer_request = await _read_request(request)
        if peer_request is None:
            return respond(Problem(error='not a question'), status=400)
        return respond(
            make_reply(self._ownership, peer_request, get_monotonic_ms()),
        )

    async def introduce(self, request: web.Request) -> web.Response:
        """Apply or read an assignment that lists a new member."""
        peer_request = await _read_request(request)
        if peer_request is None:
            return respond(Problem(error='not a question'), status=400)
        if peer_request.assignment is not None:
            self._ownership.apply_assignment(peer_request.assignment)
        elif peer_request.epoch > self._ownership.assignment.epoch:
            await self._agent.refresh_assignment()
        return respond(self._make_reply())

    async def receive_records(self, request: web.Request) -> web.Response:
        """Store records of ranges about to be assigned to this process."""
        try:
            transfer = decode_json(
                await request.read(),
                RecordTransfer,
            )
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=400)
        if transfer.incarnation == self._ownership.incarnation:
            self._registry.merge(transfer.records)
        return respond(self._make_reply())

    def _make_reply(self) -> MemberReply:
        return MemberReply(
            incarnation=self._ownership.incarnation,
            epoch=self._ownership.assignment.epoch,
        )


async def _read_request(request: web.Request) -> MemberRequest | None:
    try:
        return decode_json(await request.read(), MemberRequest)
    except msgspec.DecodeError:
        return None
