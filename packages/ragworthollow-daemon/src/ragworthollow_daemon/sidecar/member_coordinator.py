"""Coordinate the ownership of key ranges with the other members."""

import asyncio

import msgspec

from ragworthollow.once import Member, Ownership
from ragworthollow.once.peer_messages import MemberReply
from ragworthollow.once.promises import (
    apply_reply,
    make_promise_request,
    make_request_with_assignment,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.process_context import ProcessContext
from ragworthollow_daemon.sidecar.assignment_reader import Members
from ragworthollow_daemon.sidecar.member_client import MemberClient


class MemberCoordinator:
    """
    Request promises from other members and introduce this process.

    Promises are needed only while the platform is unavailable.

    Parameters
    ----------
    context : ProcessContext
        Context of this process.
    ownership : Ownership
        Updated from the replies of members.
    client : MemberClient
        Sends requests to members.
    """

    def __init__(
        self,
        *,
        context: ProcessContext,
        ownership: Ownership,
        client: MemberClient,
    ) -> None:
        self._context = context
        self._ownership = ownership
        self._client = client
        self._name = context.settings.instance

    async def request_promises(self) -> None:
        """Prolong ownership without the platform, if all members promise it."""
        now_ms = get_monotonic_ms()
        lease_ms = self._context.settings.lease_ttl_ms
        remaining_ms = self._ownership.get_certain_until_ms() - now_ms
        if remaining_ms > lease_ms / 2 or not self._ownership.owns_any():
            return
        replies = await asyncio.gather(
            *(self._request_promise(member) for member in self._get_others()),
        )
        for reply in replies:
            if reply and apply_reply(self._ownership, reply, now_ms):
                self._context.metrics.count_event('promise_received')

    async def _request_promise(self, member: Member) -> MemberReply | None:
        request = make_promise_request(self._ownership)
        reply = await self._client.request_promise(member, request)
        if reply is None:
            return None
        retry = make_request_with_assignment(self._ownership, request, reply)
        if retry is None:
            return reply
        return await self._client.request_promise(member, retry)

    async def introduce(self, members: Members) -> None:
        """Ensure that each live member has read an assignment listing us."""
        if self._ownership.get_own_member() is None:
            return
        for member in self._get_others():
            is_known = self._ownership.is_known_by(member.instance)
            if not is_known and member.instance in members:
                await self._introduce_to(member)

    async def announce(self) -> None:
        """
        Send the assignment that was just written to every member.

        Otherwise a new owner would learn of its ranges only at its next read.
        If the old owner is shutting down, it has terminated by then: no
        process would know who owns the ranges, and their keys would be
        answered as unknown.
        """
        request = msgspec.structs.replace(
            make_promise_request(self._ownership),
            assignment=self._ownership.assignment,
        )
        await asyncio.gather(
            *(
                self._client.introduce(member, request)
                for member in self._get_others()
            ),
        )

    async def _introduce_to(self, member: Member) -> None:
        request = make_promise_request(self._ownership)
        reply = await self._client.introduce(member, request)
        if reply is not None and reply.epoch >= request.epoch:
            self._ownership.record_known_by(member.instance)

    def _get_others(self) -> list[Member]:
        return [
            member
            for member in self._ownership.assignment.members
            if member.instance != self._name
        ]
