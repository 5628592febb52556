"""Report the results in use by this gateway to new scheduler hosts."""

from collections.abc import Sequence

import msgspec

from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.pieces import Piece, PieceResult, StoredResult
from ragworthollow.platform.stage_wire import get_producer_address
from ragworthollow.transport.piece_messages import SchedulerTransfer
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.peer_notifications import notify_peer
from ragworthollow_daemon.gateway.piece_service import PieceService
from ragworthollow_daemon.gateway.results_in_use import ResultsInUse
from ragworthollow_daemon.gateway.scheduler_handover import (
    TRANSFER_PATH,
    make_result_messages,
)


class ResultUseReporter:
    """
    Keep schedulers informed of the results that local requests use.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    members : GatewayMembers
        Provides the host of each pool.
    service : PieceService
        Schedulers hosted by this process.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
        service: PieceService,
    ) -> None:
        self._context = context
        self._members = members
        self._service = service
        self._in_use = ResultsInUse()

    def add(
        self,
        pool: str,
        pieces: Sequence[Piece],
        results: Sequence[PieceResult],
    ) -> None:
        """Record the results of pieces, given in the same order."""
        expires_ms = get_monotonic_ms() + self._service.get_result_ttl_ms(pool)
        self._in_use.add(
            pool,
            (
                StoredResult(
                    handle=result.handle,
                    instance=self._find_producer(pool, result.handle),
                    result_bytes=piece.result_bytes,
                    expires_ms=expires_ms,
                    requester=piece.requester,
                )
                for piece, result in zip(pieces, results, strict=True)
                if result.handle
            ),
        )

    def remove(self, pool: str, handles: Sequence[str]) -> None:
        """Record that results are released."""
        self._in_use.remove(pool, handles)

    def notify_new_hosts(self) -> None:
        """Report the results in use to new hosts of schedulers."""
        now_ms = get_monotonic_ms()
        for pool in self._in_use.get_pools():
            host = self._members.find_host(pool)
            incarnation = '' if host is None else host.incarnation
            results = self._in_use.collect_for_host(pool, incarnation, now_ms)
            if not results:
                continue
            if host is None:
                self._service.add_stored_results(pool, results)
            else:
                self._context.spawn(self._notify(host, pool, results))

    async def _notify(
        self,
        host: GatewayMember,
        pool: str,
        results: tuple[StoredResult, ...],
    ) -> None:
        transfer = SchedulerTransfer(
            pool=pool,
            source=self._context.settings.instance,
            kept=make_result_messages(results, get_monotonic_ms()),
        )
        body = msgspec.json.encode(transfer)
        await notify_peer(self._context, host, TRANSFER_PATH, body)

    def _find_producer(self, pool: str, handle: str) -> str:
        address = get_producer_address(handle)
        producer = self._context.directory.find_by_address(pool, address)
        return '' if producer is None else producer.instance
