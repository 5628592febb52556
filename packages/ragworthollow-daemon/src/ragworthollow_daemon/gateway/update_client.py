"""Request updates of the store from peer gateways."""

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec
from result import Err

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.replica import UpdateRequest, decode_update
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.received_update import ReceivedUpdate

UPDATE_PATH = '/v1/store/news'
_STEP = 'store_news'


class UpdateClient:
    """
    Request updates from a few peers while the store does not answer.

    The peers are chosen at random, since the hosts that answer this gateway's
    pings may be those whose requests the store refuses.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    members : GatewayMembers
        Gateways of the cluster.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
    ) -> None:
        self._context = context
        self._members = members

    async def request_updates(
        self, after: StorePosition
    ) -> Sequence[ReceivedUpdate]:
        """
        Request all changes after a position.

        Parameters
        ----------
        after : StorePosition
            Position up to which this gateway knows all changes.
        """
        request = UpdateRequest(
            after_revision=after.revision,
            timeline=after.timeline,
        )
        body = msgspec.json.encode(request)
        updates = await asyncio.gather(
            *(self._fetch(peer, body) for peer in self._choose_peers()),
        )
        return [update for update in updates if update is not None]

    def _choose_peers(self) -> list[GatewayMember]:
        peers = [
            member
            for member in self._members.get_members().values()
            if member.instance != self._context.settings.instance
            and not self._members.is_unresponsive(member.instance)
        ]
        count = min(len(peers), global_settings.UPDATE_PEERS_QUERIED)
        return self._context.rng.sample(peers, count)

    async def _fetch(
        self,
        peer: GatewayMember,
        body: bytes,
    ) -> ReceivedUpdate | None:
        sent_ms = get_boottime_ms()
        try:
            async with self._context.session.post(
                f'http://{peer.peer_address}{UPDATE_PATH}',
                data=body,
                timeout=make_timeout(
                    global_settings.STORE_TIMEOUT_MS,
                    global_settings.PEER_CONNECT_TIMEOUT_MS,
                ),
            ) as response:
                update = decode_update(
                    await read_bounded(
                        response, global_settings.MAX_PEER_STATE_BYTES
                    )
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            update = Err(repr(error))
        if isinstance(update, Err):
            self._context.metrics.count_event('store_news_failed')
            log_event(
                'store_news_failed',
                step=_STEP,
                peer=peer.instance,
                error=update.err_value,
            )
            return None
        if update.ok_value is None:
            return None
        return ReceivedUpdate(update=update.ok_value, sent_ms=sent_ms)
