"""Talk to the other members of the pool."""

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.once.assignment import Member
from ragworthollow.once.peer_messages import (
    MemberQuestion,
    MemberReply,
    RecordTransfer,
)
from ragworthollow.utils.message import Message
from ragworthollow_daemon.process_context import get_timeout


class MemberClient:
    """
    Ask other members.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Authenticated session.
    """

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def ask_promise(
        self,
        member: Member,
        question: MemberQuestion,
    ) -> MemberReply | None:
        """Ask a member not to take over; None when it is not reached."""
        return await self._post(member.address, 'promises', question)

    async def introduce(
        self,
        member: Member,
        question: MemberQuestion,
    ) -> MemberReply | None:
        """Ask a member to read a record that lists us."""
        return await self._post(member.address, 'introductions', question)

    async def send_records(
        self,
        address: str,
        transfer: RecordTransfer,
    ) -> MemberReply | None:
        """Hand records over."""
        return await self._post(address, 'records', transfer)

    async def _post(
        self,
        address: str,
        path: str,
        message: Message,
    ) -> MemberReply | None:
        try:
            async with self._session.post(
                f'http://{address}/v1/once/{path}',
                data=msgspec.json.encode(message),
                timeout=get_timeout(global_settings.PEER_TIMEOUT_MS),
                raise_for_status=True,
            ) as response:
                return msgspec.json.decode(
                    await response.read(),
                    type=MemberReply,
                )
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.DecodeError,
            OSError,
        ):
            return None
