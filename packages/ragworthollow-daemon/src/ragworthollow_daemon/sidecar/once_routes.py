"""Serve lookups of keys and the questions of other members."""

import msgspec
from aiohttp import web

from ragworthollow.once import Ledger, Ownership
from ragworthollow.once.peer_messages import (
    MemberQuestion,
    MemberReply,
    RecordTransfer,
)
from ragworthollow.once.promises import reply_to
from ragworthollow.transport import OnceKey
from ragworthollow.transport.responses import Problem, respond
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.sidecar.once_agent import OnceAgent
from ragworthollow_daemon.sidecar.once_gate import OnceGate

_LONGEST_WAIT_MS = 10_000.0


class OnceRoutes:
    """
    Answer entries and members about keys.

    Parameters
    ----------
    gate : OnceGate
        Runs and remembers keyed calls.
    agent : OnceAgent
        Reads the record.
    ownership : Ownership
        Decides on promises.
    ledger : Ledger
        Takes records over.
    """

    def __init__(
        self,
        *,
        gate: OnceGate,
        agent: OnceAgent,
        ownership: Ownership,
        ledger: Ledger,
    ) -> None:
        self._gate = gate
        self._agent = agent
        self._ownership = ownership
        self._ledger = ledger

    def add_to(self, application: web.Application) -> None:
        """Add the routes."""
        router = application.router
        router.add_get('/v1/once/assignment', self.get_assignment)
        router.add_post('/v1/once/lookups', self.look_up)
        router.add_post('/v1/once/promises', self.promise)
        router.add_post('/v1/once/introductions', self.meet)
        router.add_post('/v1/once/records', self.take_records)

    async def get_assignment(self, _request: web.Request) -> web.Response:
        """Return the record as this process knows it."""
        return respond(self._ownership.assignment)

    async def look_up(self, request: web.Request) -> web.Response:
        """Say what is known of a key, waiting while it runs."""
        try:
            once = msgspec.json.decode(await request.read(), type=OnceKey)
            wait_ms = float(request.query.get('wait_ms', 0))
        except (msgspec.DecodeError, ValueError) as error:
            return respond(Problem(error=str(error)), status=400)
        answer = await self._gate.look_up(
            once,
            min(wait_ms, _LONGEST_WAIT_MS),
        )
        return respond(answer)

    async def promise(self, request: web.Request) -> web.Response:
        """Promise a member not to take over from it for a while."""
        question = await _read_question(request)
        if question is None:
            return respond(Problem(error='not a question'), status=400)
        return respond(
            reply_to(self._ownership, question, get_monotonic_ms()),
        )

    async def meet(self, request: web.Request) -> web.Response:
        """Read the record that lists a new member."""
        question = await _read_question(request)
        if question is None:
            return respond(Problem(error='not a question'), status=400)
        if question.assignment is not None:
            self._ownership.learn(question.assignment)
        elif question.epoch > self._ownership.assignment.epoch:
            await self._agent.learn()
        return respond(self._make_reply())

    async def take_records(self, request: web.Request) -> web.Response:
        """Take the records of ranges that are about to be ours."""
        try:
            transfer = msgspec.json.decode(
                await request.read(),
                type=RecordTransfer,
            )
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=400)
        if transfer.incarnation == self._ownership.incarnation:
            self._ledger.merge(transfer.records)
        return respond(self._make_reply())

    def _make_reply(self) -> MemberReply:
        return MemberReply(
            incarnation=self._ownership.incarnation,
            epoch=self._ownership.assignment.epoch,
        )


async def _read_question(request: web.Request) -> MemberQuestion | None:
    try:
        return msgspec.json.decode(await request.read(), type=MemberQuestion)
    except msgspec.DecodeError:
        return None
