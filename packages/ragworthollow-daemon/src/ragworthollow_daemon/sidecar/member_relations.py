"""Obtain from other members what ownership needs."""

import asyncio

import msgspec

from ragworthollow.once import Member, Ownership
from ragworthollow.once.peer_messages import MemberReply
from ragworthollow.once.promises import (
    make_question,
    show_record,
    take_reply,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.member_client import MemberClient
from ragworthollow_daemon.sidecar.record_reader import Members


class MemberRelations:
    """
    Collect promises while the platform is away, and introduce ourselves.

    Parameters
    ----------
    context : ProcessContext
        Of this process.
    ownership : Ownership
        Takes what members say.
    clients : MemberClient
        Calls members.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        ownership: Ownership,
        clients: MemberClient,
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._clients = clients
        self._name = context.settings.instance

    async def ask_promises(self) -> None:
        """Go on without the platform while every other member allows it."""
        now_ms = get_monotonic_ms()
        lease_ms = self._context.settings.lease_ttl_ms
        left_ms = self._ownership.get_certain_until_ms() - now_ms
        if left_ms > lease_ms / 2 or not self._ownership.owns_any():
            return
        replies = await asyncio.gather(
            *(self._ask(member) for member in self._get_others()),
        )
        for reply in replies:
            if reply and take_reply(self._ownership, reply, now_ms):
                self._context.metrics.count_event('promise_received')

    async def _ask(self, member: Member) -> MemberReply | None:
        question = make_question(self._ownership)
        reply = await self._clients.ask_promise(member, question)
        if reply is None:
            return None
        again = show_record(self._ownership, question, reply)
        if again is None:
            return reply
        return await self._clients.ask_promise(member, again)

    async def introduce(self, members: Members) -> None:
        """Make sure that every live member has read a record with us in it."""
        if self._ownership.get_own_member() is None:
            return
        for member in self._get_others():
            is_known = self._ownership.is_known_by(member.instance)
            if not is_known and member.instance in members:
                await self._introduce_to(member)

    async def announce(self) -> None:
        """
        Show every member the record that we have just written.

        A new owner would otherwise learn of its ranges at its next read,
        and an old one that stops is gone by then: nobody could say who owns
        them, and their keys would be answered as unknown.
        """
        question = msgspec.structs.replace(
            make_question(self._ownership),
            assignment=self._ownership.assignment,
        )
        await asyncio.gather(
            *(
                self._clients.introduce(member, question)
                for member in self._get_others()
            ),
        )

    async def _introduce_to(self, member: Member) -> None:
        question = make_question(self._ownership)
        reply = await self._clients.introduce(member, question)
        if reply is not None and reply.epoch >= question.epoch:
            self._ownership.note_known_by(member.instance)

    def _get_others(self) -> list[Member]:
        return [
            member
            for member in self._ownership.assignment.members
            if member.instance != self._name
        ]
