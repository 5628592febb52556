"""Serve the HTTP endpoints for peer gateways."""

import msgspec
from aiohttp import web

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership import GatewayMember, GatewayMembers
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.replica import UpdateRequest, encode_update
from ragworthollow.transport.host_messages import (
    CHANGE_PATH,
    PING_PATH,
    GatewayPing,
    HostState,
    MemberChange,
)
from ragworthollow.transport.piece_messages import (
    PiecesRequest,
    ResultsRelease,
    SchedulerTransfer,
    decode_pieces,
    encode_results,
)
from ragworthollow.transport.responses import (
    Problem,
    respond,
    return_identifier,
)
from ragworthollow.utils import decode_json, get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.engine_exchange import (
    exchange_engine_reports,
)
from ragworthollow_daemon.gateway.limit_updates import (
    apply_limit_updates,
    make_limit_updates,
)
from ragworthollow_daemon.gateway.piece_exchange import (
    FREE_PATH,
    RUN_PATH,
    notify_released,
)
from ragworthollow_daemon.gateway.piece_service import PieceService
from ragworthollow_daemon.gateway.response_metadata import (
    apply_leaving,
    get_leaving_ages_ms,
)
from ragworthollow_daemon.gateway.scheduler_handover import (
    TRANSFER_PATH,
    SchedulerHandover,
)
from ragworthollow_daemon.gateway.stream_origin_route import add_origin_route
from ragworthollow_daemon.gateway.update_client import UPDATE_PATH

_BAD_REQUEST = 400


class PeerRoutes:
    """
    Handle the requests of peer gateways.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this gateway.
    members : GatewayMembers
        Gateways of the cluster.
    service : PieceService
        Runs pieces in the schedulers that this gateway hosts.
    handover : SchedulerHandover
        Accepts schedulers from their previous hosts.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
        service: PieceService,
        handover: SchedulerHandover,
    ) -> None:
        self._handover = handover
        self._context = context
        self._members = members
        self._service = service

    def make_application(self) -> web.Application:
        """Create the web application for the peer address."""
        application = web.Application(
            client_max_size=global_settings.MAX_BODY_BYTES,
            middlewares=(return_identifier,),
        )
        application.router.add_post(PING_PATH, self.handle_ping)
        application.router.add_post(CHANGE_PATH, self.apply_member_change)
        application.router.add_post(UPDATE_PATH, self.send_update)
        add_origin_route(application, self._context)
        application.router.add_post(RUN_PATH, self.run_pieces)
        application.router.add_post(FREE_PATH, self.release_results)
        application.router.add_post(TRANSFER_PATH, self.apply_transfer)
        return application

    async def handle_ping(self, request: web.Request) -> web.Response:
        """Apply the ping of a peer, and respond with this gateway's state."""
        body = await request.read()
        try:
            ping = decode_json(body, GatewayPing)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=_BAD_REQUEST)
        now_ms = get_monotonic_ms()
        self._service.requesters.record_ping(
            ping.instance, ping.incarnation, now_ms
        )
        self._service.get_schedulers().peer_announcements.record(
            ping.instance,
            ping.announced,
            now_ms,
        )
        quarantine = self._context.quarantine
        quarantine.apply_update(ping.instance, ping.evidence)
        apply_leaving(self._context, ping.leaving_ages_ms)
        apply_limit_updates(
            self._context,
            ping.named_limits,
            get_boottime_ms() - global_settings.HOST_PING_TIMEOUT_MS,
        )
        return respond(
            HostState(
                instance=self._context.settings.instance,
                can_host=self._context.can_host(),
                is_leaving=self._context.drain.is_draining,
                waits_ms=self._service.get_waits_ms(),
                short_of_space=(
                    self._service.get_schedulers().list_short_of_space()
                ),
                store=self._context.replica.make_update(
                    after=StorePosition(
                        timeline=ping.store_timeline,
                        revision=ping.store_revision,
                    ),
                    now_ms=get_boottime_ms(),
                    max_bytes=global_settings.MAX_PING_UPDATE_BYTES,
                ),
                evidence=quarantine.make_update(ping.instance),
                leaving_ages_ms=get_leaving_ages_ms(self._context),
                named_limits=make_limit_updates(self._context),
                engines=exchange_engine_reports(
                    self._context, ping.instance, ping.engines
                ),
            ),
        )

    async def send_update(self, request: web.Request) -> web.Response:
        """Send an update of the store to a gateway that cannot read it."""
        body = await request.read()
        try:
            update_request = decode_json(body, UpdateRequest)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=_BAD_REQUEST)
        self._context.metrics.count_event('store_news_told')
        update = self._context.replica.make_update(
            after=update_request.get_position(),
            now_ms=get_boottime_ms(),
            max_bytes=float('inf'),
            allow_snapshot=True,
        )
        return web.Response(body=encode_update(update))

    async def apply_member_change(self, request: web.Request) -> web.Response:
        """Apply a gateway's announcement that it joins or leaves."""
        body = await request.read()
        try:
            change = decode_json(body, MemberChange)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=_BAD_REQUEST)
        now_ms = get_monotonic_ms()
        self._members.apply_change(change, now_ms)
        self._context.set_members(self._members.get_members(), now_ms)
        log_event(
            'member_announced',
            step='membership',
            peer=change.member.instance,
            is_leaving=change.member.is_leaving,
        )
        return web.Response()

    async def run_pieces(self, request: web.Request) -> web.Response:
        """Run pieces; they are cancelled if the requester disconnects."""
        body = await request.read()
        try:
            order = decode_json(body, PiecesRequest)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=_BAD_REQUEST)
        now_ms = get_monotonic_ms()
        self._service.requesters.record_request(order.asker, now_ms)
        pieces = decode_pieces(order, now_ms)
        # A stopping host still finishes the pieces of its peers.
        with self._context.drain.serving(peer=order.asker):
            results = await self._service.run(order.pool, pieces)
        return respond(encode_results(results))

    async def release_results(self, request: web.Request) -> web.Response:
        """
        Release results through the scheduler that accounts for their space.

        The sender may not know yet that another gateway now hosts the
        scheduler.  The accounting has moved to that gateway, which would count
        the results as occupying space until they expire.
        """
        body = await request.read()
        try:
            release = decode_json(body, ResultsRelease)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=_BAD_REQUEST)
        host = self._members.find_host(release.pool)
        if host is None or release.is_forwarded:
            self._service.release(release.pool, release.handles)
        else:
            self._context.spawn(self._forward(host, release))
        return web.Response()

    async def _forward(
        self,
        host: GatewayMember,
        release: ResultsRelease,
    ) -> None:
        forwarded = msgspec.structs.replace(release, is_forwarded=True)
        if not await notify_released(self._context, host, forwarded):
            self._service.release(release.pool, release.handles)

    async def apply_transfer(self, request: web.Request) -> web.Response:
        """Take over a scheduler's state from its previous host."""
        body = await request.read()
        try:
            transfer = decode_json(body, SchedulerTransfer)
        except msgspec.DecodeError as error:
            return respond(Problem(error=str(error)), status=_BAD_REQUEST)
        self._handover.apply_transfer(transfer)
        return web.Response()
