"""Hand over schedulers whose pool is now hosted by another gateway."""

import asyncio
from collections.abc import Iterable

import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.pieces import PieceScheduler, RemoteCall, StoredResult
from ragworthollow.transport.piece_messages import (
    RemoteCallMessage,
    SchedulerTransfer,
    StoredResultMessage,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.peer_notifications import notify_peer
from ragworthollow_daemon.gateway.scheduler_registry import SchedulerRegistry

_STEP = 'pieces'
TRANSFER_PATH = '/v1/gates/transfer'


class SchedulerHandover:
    """
    Report the calls and results of a pool to its new host.

    Two schedulers of one pool that do not know of each other overload the
    same instances: calls queue behind calls, there is no space left for
    results, and requests lose the work of their stages.  During a rolling
    restart of the gateways this would last for seconds.  Therefore a
    scheduler whose pool has moved to another host returns its queue to the
    requesters and reports its calls and results to the new host.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    members : GatewayMembers
        Provides the host of each pool.
    schedulers : SchedulerRegistry
        Schedulers of this process.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
        schedulers: SchedulerRegistry,
    ) -> None:
        self._context = context
        self._members = members
        self._schedulers = schedulers
        self._hosted: set[str] = set()
        self._notified: set[str] = set()

    def check(self) -> None:
        """Hand over the schedulers of pools that are no longer hosted here."""
        for pool in self._schedulers.get_pools():
            host = self._members.find_host(pool)
            if host is None:
                self._hosted.add(pool)
            else:
                self._hand_over(pool, self._schedulers.get(pool), host)

    async def leave(self) -> None:
        """
        Host no schedulers any more, once the next hosts know of their calls.

        Run it before the other gateways learn that this one leaves: from then
        on they send their pieces to the next hosts.
        """
        self.check()
        held = [self._schedulers.get(pool) for pool in self._hosted]
        for scheduler in held:
            scheduler.is_held = True
        await asyncio.gather(*map(self._prepare_successor, self._hosted))
        self._members.leave()
        for scheduler in held:
            scheduler.is_held = False
        self.check()

    def apply_transfer(self, transfer: SchedulerTransfer) -> None:
        """Record the calls and results of another gateway for a pool."""
        now_ms = get_monotonic_ms()
        scheduler = self._schedulers.get(transfer.pool)
        if transfer.calls is not None:
            scheduler.running.record_remote_calls(
                transfer.source,
                _make_remote_calls(transfer.calls, now_ms),
            )
        for stored in transfer.kept:
            scheduler.result_space.add(
                StoredResult(
                    handle=stored.handle,
                    instance=stored.instance,
                    result_bytes=stored.result_bytes,
                    expires_ms=now_ms + stored.left_ms,
                    requester=stored.asker,
                ),
            )

    def _hand_over(
        self,
        pool: str,
        scheduler: PieceScheduler,
        host: GatewayMember,
    ) -> None:
        if pool in self._hosted:
            self._hosted.discard(pool)
            self._release_queue(pool, scheduler, host)
        transfer = self._make_transfer(pool, scheduler)
        if transfer.calls or transfer.kept or pool in self._notified:
            self._context.spawn(self._send(host, transfer))
        # After the last call has ended, one more transfer reports no calls.
        if transfer.calls:
            self._notified.add(pool)
        else:
            self._notified.discard(pool)

    async def _prepare_successor(self, pool: str) -> None:
        successor = self._members.find_host(pool, can_be_self=False)
        if successor is not None:
            transfer = self._make_transfer(pool, self._schedulers.get(pool))
            await self._send(successor, transfer)

    def _make_transfer(
        self, pool: str, scheduler: PieceScheduler
    ) -> SchedulerTransfer:
        return SchedulerTransfer(
            pool=pool,
            source=self._context.settings.instance,
            calls=_make_call_messages(scheduler),
            kept=make_result_messages(
                scheduler.result_space.pop_all(), get_monotonic_ms()
            ),
        )

    def _release_queue(
        self,
        pool: str,
        scheduler: PieceScheduler,
        host: GatewayMember,
    ) -> None:
        queued = scheduler.get_depth()
        scheduler.release_queue()
        log_event(
            'gate_handed_over',
            step=_STEP,
            pool=pool,
            peer=host.instance,
            queued=queued,
            calls=len(scheduler.running.own),
        )

    async def _send(
        self, host: GatewayMember, transfer: SchedulerTransfer
    ) -> None:
        # Without it, the host overestimates the free capacity of instances.
        body = msgspec.json.encode(transfer)
        await notify_peer(self._context, host, TRANSFER_PATH, body)


def _make_call_messages(
    scheduler: PieceScheduler,
) -> tuple[RemoteCallMessage, ...]:
    return tuple(
        RemoteCallMessage(
            instance=call.instance.instance,
            result_bytes=sum(
                waiting.piece.result_bytes for waiting in call.pieces
            ),
        )
        for call in scheduler.running.own
    )


def make_result_messages(
    results: Iterable[StoredResult],
    now_ms: float,
) -> tuple[StoredResultMessage, ...]:
    """
    Encode results that still occupy space, for another gateway.

    Parameters
    ----------
    results : iterable of StoredResult
        Results of one pool.
    now_ms : float
        Time on the monotonic clock, in milliseconds.
    """
    return tuple(
        StoredResultMessage(
            handle=result.handle,
            instance=result.instance,
            result_bytes=result.result_bytes,
            left_ms=result.expires_ms - now_ms,
            asker=result.requester,
        )
        for result in results
        if result.expires_ms > now_ms
    )


def _make_remote_calls(
    calls: Iterable[RemoteCallMessage],
    now_ms: float,
) -> list[RemoteCall]:
    return [
        RemoteCall(
            instance=call.instance,
            result_bytes=call.result_bytes,
            expires_ms=now_ms + global_settings.REMOTE_CALL_TTL_MS,
        )
        for call in calls
    ]
