"""Send requests to the other members of the pool."""

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.once.assignment import Member
from ragworthollow.once.peer_messages import (
    MemberReply,
    MemberRequest,
    RecordTransfer,
)
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.utils import decode_json
from ragworthollow.utils.message import Message
from ragworthollow_daemon.process_context import get_timeout


class MemberClient:
    """
    Send requests to other members over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that authenticates this process.
    """

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def request_promise(
        self,
        member: Member,
        request: MemberRequest,
    ) -> MemberReply | None:
        """Ask a member not to take over; return None if it is unreachable."""
        return await self._post(member.address, 'promises', request)

    async def introduce(
        self,
        member: Member,
        request: MemberRequest,
    ) -> MemberReply | None:
        """Ask a member to read an assignment that lists this process."""
        return await self._post(member.address, 'introductions', request)

    async def send_records(
        self,
        address: str,
        transfer: RecordTransfer,
    ) -> MemberReply | None:
        """Transfer key records; return None if the member is unreachable."""
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
                return decode_json(
                    await read_bounded(
                        response, global_settings.MAX_MESSAGE_BYTES
                    ),
                    MemberReply,
                )
        except (
            TimeoutError,
            aiohttp.ClientError,
            msgspec.DecodeError,
            OSError,
        ):
            return None
