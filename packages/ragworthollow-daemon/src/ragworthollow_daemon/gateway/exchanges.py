"""Collect the exchanges whose responses are tied to their requests."""

from ragworthollow.conf import GatewaySettings
from ragworthollow.metrics import Metrics
from ragworthollow.platform.request_wire import REQUEST_ID_HEADER
from ragworthollow.transport.connection_guard import ConnectionGuard
from ragworthollow.transport.sessions import (
    make_held_session,
    make_peer_session,
)
from ragworthollow.upstreams import LoadTracker
from ragworthollow.utils.time_limits import TimeLimits
from ragworthollow_daemon.gateway.stage_exchange import StageExchange


class Exchanges:
    """
    Own the sessions for stage instances and peers, and the time limits.

    Must be created inside the running event loop.

    Parameters
    ----------
    load_tracker : LoadTracker
        Remembers which instances return identifiers.
    metrics : Metrics
        Metrics of this process.
    settings : GatewaySettings
        Validated settings.

    Attributes
    ----------
    guard : ConnectionGuard
        Bounds the connections of callers and what they hold.
    peer_session : aiohttp.ClientSession
        Session for requests to peer gateways.
    stages : StageExchange
        Sends messages to stage instances.
    time_limits : TimeLimits
        Time limits of requests at upstreams.
    """

    def __init__(
        self,
        *,
        load_tracker: LoadTracker,
        metrics: Metrics,
        settings: GatewaySettings,
    ) -> None:
        self.guard = ConnectionGuard(
            memory_mb=settings.memory_mb,
            max_descriptors=settings.max_descriptors,
            metrics=metrics,
        )
        self._stage_session = make_held_session(REQUEST_ID_HEADER)
        self.peer_session = make_peer_session()
        self.time_limits = TimeLimits()
        self.stages = StageExchange(
            session=self._stage_session,
            load_tracker=load_tracker,
            metrics=metrics,
        )

    async def close(self) -> None:
        """Close the sessions."""
        await self._stage_session.close()
        await self.peer_session.close()
