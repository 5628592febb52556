"""Ask other gateways what the store holds."""

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
from ragworthollow.replica import NewsQuestion, decode_news
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.heard_news import HeardNews

NEWS_PATH = '/v1/store/news'
_STEP = 'store_news'


class NewsClient:
    """
    Ask a few other gateways when the store does not answer.

    Which ones is left to chance: those that answer pings may be the ones that
    the store turns away.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    members : GatewayMembers
        The other gateways.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
    ) -> None:
        self._context = context
        self._members = members

    async def ask(self, after: StorePosition) -> Sequence[HeardNews]:
        """
        Ask for everything after a position.

        Parameters
        ----------
        after : StorePosition
            Up to which everything is known here.
        """
        question = NewsQuestion(
            after_revision=after.revision,
            timeline=after.timeline,
        )
        body = msgspec.json.encode(question)
        answers = await asyncio.gather(
            *(self._ask(peer, body) for peer in self._choose()),
        )
        return [one for one in answers if one is not None]

    def _choose(self) -> list[GatewayMember]:
        others = [
            one
            for one in self._members.get_members().values()
            if one.instance != self._context.settings.instance
            and not self._members.is_silent(one.instance)
        ]
        count = min(len(others), global_settings.NEWS_PEERS_ASKED)
        return self._context.rng.sample(others, count)

    async def _ask(self, peer: GatewayMember, body: bytes) -> HeardNews | None:
        asked_ms = get_boottime_ms()
        try:
            async with self._context.session.post(
                f'http://{peer.peer_address}{NEWS_PATH}',
                data=body,
                timeout=make_timeout(
                    global_settings.STORE_TIMEOUT_MS,
                    global_settings.PEER_CONNECT_TIMEOUT_MS,
                ),
            ) as response:
                news = decode_news(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            news = Err(repr(error))
        if isinstance(news, Err):
            self._context.metrics.count_event('store_news_failed')
            log_event(
                'store_news_failed',
                step=_STEP,
                peer=peer.instance,
                error=news.err_value,
            )
            return None
        if news.ok_value is None:
            return None
        return HeardNews(news=news.ok_value, asked_ms=asked_ms)
