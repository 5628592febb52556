"""Run pieces through the scheduler of their pool, local or remote."""

import asyncio
from collections.abc import Iterable, Sequence

from result import Err, Result

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.pieces import Piece, PieceOutcome, PieceResult
from ragworthollow.platform.stage_wire import get_producer_address
from ragworthollow.transport.piece_messages import ResultsRelease
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.features import saves_result_space
from ragworthollow_daemon.gateway.piece_exchange import (
    NotifyReleased,
    PieceResults,
    RequestPieces,
    notify_released,
    request_pieces,
)
from ragworthollow_daemon.gateway.piece_service import PieceService
from ragworthollow_daemon.gateway.result_use_reporter import ResultUseReporter

_STEP = 'pieces'


class PieceClient:
    """
    Run pieces through the schedulers of all pools.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    members : GatewayMembers
        The other gateways.
    service : PieceService
        Schedulers hosted by this process.
    send_pieces : callable
        Sends pieces to another gateway and returns their results.
    send_release : callable
        Notifies another gateway of released results.

    Attributes
    ----------
    requester : str
        Incarnation of this gateway.
    is_space_scarce : bool
        Whether stage work has to save space for results.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        members: GatewayMembers,
        service: PieceService,
        send_pieces: RequestPieces = request_pieces,
        send_release: NotifyReleased = notify_released,
    ) -> None:
        self._request_pieces = send_pieces
        self._notify_released = send_release
        self._context = context
        self._members = members
        self._service = service
        self._results_in_use = ResultUseReporter(
            context=context,
            members=members,
            service=service,
        )
        self.requester = context.incarnation
        self.is_space_scarce = saves_result_space(context.settings)
        service.set_input_releaser(self.release)

    async def run(self, pool: str, pieces: Sequence[Piece]) -> PieceResults:
        """
        Process the pieces of one stage of one request.

        If a host becomes unresponsive, the pieces are sent to the next host,
        and finally to this process itself.  Pieces may be processed more than
        once, so it does not matter what the unresponsive host has done.  A
        gateway that is no longer the host returns the pieces that it has not
        started.
        """
        results_by_number: dict[int, PieceResult] = {}
        pending = tuple(pieces)
        while pending:
            batch = await self._run_on_host(pool, pending)
            results_by_number.update(
                (piece.number, result)
                for piece, result in zip(pending, batch, strict=True)
                if result.outcome is not PieceOutcome.moved
            )
            pending = tuple(
                requested
                for requested in pieces
                if requested.number not in results_by_number
            )
        results = tuple(results_by_number[piece.number] for piece in pieces)
        self._results_in_use.add(pool, pieces, results)
        return results

    def notify_new_hosts(self) -> None:
        """Report the results in use to new hosts of schedulers."""
        self._results_in_use.notify_new_hosts()

    async def _run_on_host(
        self,
        pool: str,
        pieces: tuple[Piece, ...],
    ) -> PieceResults:
        while True:
            host = self._members.find_host(pool)
            if host is None:
                return await self._service.run(pool, pieces)
            results = await self._run_remotely(host, pool, pieces)
            if results is not None:
                return results

    def get_waits_ms(
        self,
        pools: Iterable[str],
        priority: int,
    ) -> dict[str, float]:
        """
        Return the expected waits of pools as last reported by their hosts.

        Parameters
        ----------
        pools : iterable of str
            Pools to return.
        priority : int
            Priority of the request that would wait.

        Returns
        -------
        dict of str to float
            Waits in milliseconds by pool.
        """
        local = self._service.get_waits_ms()
        waits = {}
        for pool in pools:
            host = self._members.find_host(pool)
            by_priority = (
                local.get(pool, [])
                if host is None
                else self._members.reports.get_waits_ms(pool, host.instance)
            )
            position = min(priority, len(by_priority) - 1)
            waits[pool] = by_priority[position] if by_priority else 0
        return waits

    def is_short_of_space(self, pool: str) -> bool:
        """
        Return whether space for results limits a pool's throughput.

        Always False where nothing is done about it.
        """
        if not self.is_space_scarce:
            return False
        host = self._members.find_host(pool)
        if host is None:
            return pool in self._service.get_schedulers().list_short_of_space()
        return self._members.reports.is_short_of_space(pool, host.instance)

    def announce(self, pool: str, priority: int, pieces: int) -> None:
        """Announce pieces to the scheduler of a pool, or withdraw them."""
        self._service.get_schedulers().announced.add(pool, priority, pieces)

    def find_failure_domain(self, pool: str, handle: str) -> str:
        """Return the domain of a result; '' if its producer has terminated."""
        address = get_producer_address(handle)
        producer = self._context.directory.find_by_address(pool, address)
        return '' if producer is None else producer.failure_domain

    def release(self, pool: str, handles: Sequence[str]) -> None:
        """Release results through the scheduler that accounts for them."""
        if not handles:
            return
        self._results_in_use.remove(pool, handles)
        host = self._members.find_host(pool)
        if host is None:
            self._service.release(pool, handles)
            return
        release = ResultsRelease(pool=pool, handles=tuple(handles))
        self._context.spawn(self._release_remotely(host, release))

    async def _run_remotely(
        self,
        host: GatewayMember,
        pool: str,
        pieces: tuple[Piece, ...],
    ) -> PieceResults | None:
        request = asyncio.ensure_future(
            self._request_pieces(self._context, host, pool, pieces),
        )
        try:
            while not request.done():
                await asyncio.wait(
                    {request},
                    timeout=global_settings.SCHEDULER_TICK_MS / 1000,
                )
                if self._members.is_unresponsive(host.instance):
                    break
        finally:
            request.cancel()
        if request.done() and not request.cancelled():
            return self._handle_response(host, request.result())
        return None

    async def _release_remotely(
        self,
        host: GatewayMember,
        release: ResultsRelease,
    ) -> None:
        if not await self._notify_released(self._context, host, release):
            self._service.release(release.pool, release.handles)

    def _handle_response(
        self,
        host: GatewayMember,
        response: Result[PieceResults, str],
    ) -> PieceResults | None:
        if not isinstance(response, Err):
            return response.ok_value
        self._members.mark_unresponsive(host.instance)
        log_event(
            'peer_lost',
            step=_STEP,
            peer=host.instance,
            error=response.err_value,
        )
        return None
