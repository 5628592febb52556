"""Ask peer gateways which software version began a stream."""

import asyncio
from collections.abc import Collection

import aiohttp
import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.transport.host_messages import (
    STREAM_ORIGIN_PATH,
    StreamOriginAnswer,
    StreamOriginQuery,
)
from ragworthollow.transport.peer_exchange import post_to_peer
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.upstreams import StreamOrigin
from ragworthollow.utils import decode_json, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_STEP = 'resume'


class StreamOriginClient:
    """
    Ask a limited number of peers, and record what one of them knows.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    members : GatewayMembers
        Gateways of the cluster.
    """

    def __init__(
        self, *, context: GatewayContext, members: GatewayMembers
    ) -> None:
        self._context = context
        self._members = members

    async def fetch(self, request_id: str) -> bool:
        """
        Ask peers which version began a stream, and record it.

        Parameters
        ----------
        request_id : str
            Caller's attempt whose response brought the first event.

        Returns
        -------
        bool
            Whether a peer knows the stream.
        """
        return await self._fetch_from(self._choose_peers(), request_id)

    async def confirm(self, request_id: str, writers: Collection[str]) -> bool:
        """
        Ask those who have recorded a stream whether the record still holds.

        Parameters
        ----------
        request_id : str
            Caller's attempt whose response brought the first event.
        writers : collection of str
            Incarnations of the gateways that have recorded it.

        Returns
        -------
        bool
            Whether one of them knows the stream.
        """
        answers = await asyncio.gather(
            *(
                self._ask(peer, request_id)
                for peer in self._list_peers()
                if peer.incarnation in writers
            )
        )
        known = [origin for origin in answers if origin is not None]
        for origin in known:
            # One that is not certain is never replaced by another.
            self._context.directory.stream_versions.record(
                request_id, origin, get_monotonic_ms()
            )
        return bool(known)

    async def _fetch_from(
        self, peers: Collection[GatewayMember], request_id: str
    ) -> bool:
        asked = [
            asyncio.ensure_future(self._ask(peer, request_id)) for peer in peers
        ]
        try:
            return await self._record_first(request_id, asked)
        finally:
            for asking in asked:
                asking.cancel()

    async def _record_first(
        self,
        request_id: str,
        asked: list[asyncio.Future[StreamOrigin | None]],
    ) -> bool:
        for asking in asyncio.as_completed(asked):
            origin = await asking
            if origin is not None:
                return self._context.directory.stream_versions.record(
                    request_id, origin, get_monotonic_ms()
                )
        return False

    def _list_peers(self) -> list[GatewayMember]:
        return [
            member
            for member in self._members.get_members().values()
            if member.instance != self._context.settings.instance
            and not self._members.is_unresponsive(member.instance)
        ]

    def _choose_peers(self) -> list[GatewayMember]:
        peers = self._list_peers()
        count = min(len(peers), global_settings.STREAM_ORIGIN_PEERS)
        return self._context.rng.sample(peers, count)

    async def _ask(
        self, peer: GatewayMember, request_id: str
    ) -> StreamOrigin | None:
        query = StreamOriginQuery(request_id=request_id)
        try:
            response = await post_to_peer(
                self._context.exchanges.peer_session,
                f'http://{peer.peer_address}{STREAM_ORIGIN_PATH}',
                msgspec.json.encode(query),
                make_timeout(
                    global_settings.HOST_PING_TIMEOUT_MS,
                    global_settings.PEER_CONNECT_TIMEOUT_MS,
                ),
            )
            answer = decode_json(response.body, StreamOriginAnswer)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.DecodeError,
        ) as error:
            self._log(peer, request_id, 'failed', repr(error))
            return None
        if not answer.is_known:
            return None
        self._log(peer, request_id, 'known')
        now_ms = get_monotonic_ms()
        return StreamOrigin(
            software_version=answer.software_version,
            instance=answer.instance,
            began_ms=now_ms - answer.age_ms,
            expires_ms=now_ms + answer.left_ms,
            pool=answer.pool,
        )

    def _log(
        self,
        peer: GatewayMember,
        request_id: str,
        outcome: str,
        error: str | None = None,
    ) -> None:
        self._context.metrics.count_event(f'stream_origin_{outcome}')
        log_event(
            'stream_origin_asked',
            step=_STEP,
            peer=peer.instance,
            resumes_request_id=request_id,
            outcome=outcome,
            error=error,
        )
