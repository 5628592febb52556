"""Ping the hosts of schedulers, and exchange updates with them."""

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import msgspec

from ragworthollow.balancing import EngineReport
from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.pieces import AnnouncedWork
from ragworthollow.replica import StoreUpdate
from ragworthollow.transport.bounded_reading import read_bounded
from ragworthollow.transport.host_messages import (
    PING_PATH,
    GatewayPing,
    HostState,
)
from ragworthollow.transport.timeouts import make_timeout
from ragworthollow.utils import decode_json, get_boottime_ms, get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.engine_exchange import (
    ENGINE_REPORTS,
    apply_own_reports,
    make_engine_reports,
)
from ragworthollow_daemon.gateway.limit_updates import (
    apply_limit_updates,
    make_limit_updates,
)
from ragworthollow_daemon.gateway.response_metadata import (
    apply_leaving,
    get_leaving_ages_ms,
)

_STEP = 'membership'


class HostPinger:
    """
    Check directly whether the hosts of schedulers are alive.

    The store is not sufficient for that: the lease of a membership record
    outlives its holder by seconds, and the store may be unavailable.

    Parameters
    ----------
    context : GatewayContext
        State of this gateway.
    members : GatewayMembers
        Known gateways.
    announced : AnnouncedWork
        Expected work to report to the hosts.
    apply_update : callable
        Applies the store update of a host, given with the time at which the
        ping was sent.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
        announced: AnnouncedWork,
        apply_update: Callable[[StoreUpdate, float], bool],
    ) -> None:
        self._context = context
        self._members = members
        self._announced = announced
        self._apply_store_update = apply_update

    async def run(self) -> None:
        """Ping the hosts of schedulers until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(global_settings.HOST_PING_MS / 1000):
                    await self._context.quarantine.has_urgent_update.wait()
            self._context.quarantine.has_urgent_update.clear()
            targets = self._choose_ping_targets()
            if self._members.find_host(ENGINE_REPORTS) is None:
                apply_own_reports(self._context)
            await asyncio.gather(*map(self._ping, targets))
            if self._context.route_table is not None:
                # Set even if no host responds: there is then no peer to get
                # evidence from.
                self._context.quarantine.has_polled_peers = True

    def _choose_ping_targets(self) -> list[GatewayMember]:
        """Choose the gateways to ping; none before there is a route table."""
        table = self._context.route_table
        if table is None:
            return []
        pools = [pool.name for pool in table.pools.values() if pool.pieces]
        if pools and self._context.engine_view.work_times.has_reports:
            pools.append(ENGINE_REPORTS)
        self._members.set_pools(pools)
        return self._members.choose_ping_targets()

    def _make_engine_reports(
        self,
        host: GatewayMember,
    ) -> dict[str, EngineReport] | None:
        """Return reports on engines for the host that collects them."""
        collector = self._members.find_host(ENGINE_REPORTS)
        if collector is None or collector.instance != host.instance:
            return None
        return make_engine_reports(self._context)

    async def _ping(self, host: GatewayMember) -> None:
        ping = GatewayPing(
            instance=self._context.settings.instance,
            incarnation=self._context.incarnation,
            announced=self._announced.get_counts(),
            store_revision=self._context.replica.view.revision,
            store_timeline=self._context.replica.view.timeline,
            evidence=self._context.quarantine.make_update(host.instance),
            leaving_ages_ms=get_leaving_ages_ms(self._context),
            named_limits=make_limit_updates(self._context),
            engines=self._make_engine_reports(host),
        )
        sent_ms = get_boottime_ms()
        try:
            async with self._context.session.post(
                f'http://{host.peer_address}{PING_PATH}',
                data=msgspec.json.encode(ping),
                timeout=make_timeout(
                    global_settings.HOST_PING_TIMEOUT_MS,
                    global_settings.PEER_CONNECT_TIMEOUT_MS,
                ),
            ) as response:
                state = decode_json(
                    await read_bounded(
                        response, global_settings.MAX_PEER_STATE_BYTES
                    ),
                    HostState,
                )
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.DecodeError,
        ) as error:
            self._mark_unresponsive(host, repr(error))
            return
        if state.instance == host.instance:
            self._apply_updates(state, sent_ms)
        self.apply_state(host, state)

    def _apply_updates(self, state: HostState, sent_ms: float) -> None:
        if state.store is not None:
            self._apply_store_update(state.store, sent_ms)
        self._context.quarantine.apply_update(state.instance, state.evidence)
        apply_leaving(self._context, state.leaving_ages_ms)
        apply_limit_updates(self._context, state.named_limits, sent_ms)
        if state.engines is not None:
            self._context.engine_view.record_others(
                state.engines, get_monotonic_ms()
            )

    def apply_state(self, host: GatewayMember, state: HostState) -> None:
        """
        Apply the response to a ping.

        Parameters
        ----------
        host : GatewayMember
            Host that was pinged.
        state : HostState
            State that it reported.
        """
        if state.instance != host.instance:
            self._mark_unresponsive(host, 'another process answered')
            return
        if not state.can_host:
            self._mark_unresponsive(host, 'knows no upstream instances')
            return
        if self._members.is_unresponsive(host.instance):
            log_event('peer_regained', step=_STEP, peer=host.instance)
        self._members.record_response(state)

    def _mark_unresponsive(self, host: GatewayMember, detail: str) -> None:
        if not self._members.is_unresponsive(host.instance):
            log_event(
                'peer_lost',
                step=_STEP,
                peer=host.instance,
                error=detail,
            )
        self._members.mark_unresponsive(host.instance)
