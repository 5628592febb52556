"""Host the schedulers of pools and send their calls."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence

from result import Err

from ragworthollow.logs.events import log_event
from ragworthollow.pieces import (
    Piece,
    PieceCall,
    PieceResult,
    PieceScheduler,
    StageRun,
    StoredResult,
    WaitingPiece,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.call_monitor import QueryIsBusy, query_is_busy
from ragworthollow_daemon.gateway.call_result_handler import CallResultHandler
from ragworthollow_daemon.gateway.call_runner import CallRunner, SendCall
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.features import saves_result_space
from ragworthollow_daemon.gateway.input_releases import (
    InputReleases,
    ReleaseInputs,
)
from ragworthollow_daemon.gateway.piece_call import send_call
from ragworthollow_daemon.gateway.pool_throttle import PoolThrottle
from ragworthollow_daemon.gateway.requester_tracker import RequesterTracker
from ragworthollow_daemon.gateway.result_releases import ResultReleaser
from ragworthollow_daemon.gateway.scheduler_registry import SchedulerRegistry

_STEP = 'pieces'

PieceResults = tuple[PieceResult, ...]
ReleaseResults = Callable[
    [GatewayContext, str, tuple[str, ...]],
    Coroutine[None, None, None],
]


class PieceService:
    """
    Batch the pieces that arrive here into calls, across requests.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    send : callable
        Sends one call and returns its results.
    release_at : callable, optional
        Releases results at the instance that produced them.
    query : callable
        Asks an instance whether it is processing any call.
    """

    def __init__(
        self,
        *,
        context: GatewayContext,
        send: SendCall = send_call,
        release_at: ReleaseResults | None = None,
        query: QueryIsBusy = query_is_busy,
    ) -> None:
        self._context = context
        self._release_at = release_at or ResultReleaser().release
        self._schedulers = SchedulerRegistry(context=context)
        self._outcomes = CallResultHandler(
            context=context, release=self.release
        )
        self.requesters = RequesterTracker()
        self._calls = CallRunner(context=context, send=send, query=query)
        self._input_releases = InputReleases(release=self.release)

    def set_input_releaser(self, release: ReleaseInputs) -> None:
        """Set how results of pools that others may host are released."""
        self._input_releases = InputReleases(release=release)

    async def run(self, pool: str, pieces: Sequence[Piece]) -> PieceResults:
        """
        Process pieces.

        Parameters
        ----------
        pool : str
            Pool that processes the pieces.
        pieces : sequence of Piece
            Pieces of one stage of one request.

        Returns
        -------
        tuple of PieceResult
            Results in the order of the pieces.
        """
        refused = self._schedulers.refuse(pool, pieces)
        if refused is not None:
            return refused
        self._context.get_budget(pool).deposit()
        started_ms = get_monotonic_ms()
        expected_ms = self._schedulers.estimate_stage_ms(pool, pieces)
        results = await self._run_stage(pool, pieces)
        is_complete = all(piece_result.handle for piece_result in results)
        if is_complete and saves_result_space(self._context.settings):
            now_ms = get_monotonic_ms()
            self._schedulers.get(pool).wait_error.record(
                now_ms - started_ms - expected_ms, now_ms
            )
        return results

    async def _run_stage(
        self,
        pool: str,
        pieces: Sequence[Piece],
    ) -> PieceResults:
        scheduler = self._schedulers.get(pool)
        stage_run = StageRun(unstarted_pieces=len(pieces))
        futures = []
        submitted = []
        for piece in pieces:
            future = asyncio.get_running_loop().create_future()
            waiting = WaitingPiece(
                piece=piece,
                arrived_ms=get_monotonic_ms(),
                on_result=_make_resolver(future),
                stage_run=stage_run,
            )
            futures.append(future)
            submitted.append(waiting)
        for waiting in submitted:
            scheduler.submit(waiting)
        self.advance(pool)
        try:
            return tuple(await asyncio.gather(*futures))
        except asyncio.CancelledError:
            # The requester has cancelled: results so far would occupy space at
            # their producers until they expire.
            self.release(pool, _get_handles(futures))
            raise
        finally:
            for waiting in submitted:
                waiting.is_awaited = False

    def get_waits_ms(self) -> dict[str, list[float]]:
        """Return the expected waits (ms) by pool hosted here and priority."""
        return self._schedulers.get_waits_ms()

    def advance_all(self) -> None:
        """Advance all schedulers; cancel the work of terminated requesters."""
        for requester in self.requesters.pop_terminated(get_monotonic_ms()):
            self._cancel_requester(requester)
        for pool in self._schedulers.get_pools():
            self.advance(pool)

    def advance(self, pool: str) -> None:
        """Send the calls that the scheduler of a pool plans for now."""
        profile = self._schedulers.find_profile(pool)
        if profile is None:
            return
        scheduler = self._schedulers.get(pool)
        if self._context.directory.is_pool_drained(pool):
            scheduler.refuse_queue()
        throttle = PoolThrottle(
            context=self._context,
            pool=pool,
            is_only_sender=True,
        )
        calls = scheduler.plan(
            profile,
            throttle.get_available(),
            self._context.load_tracker,
            get_monotonic_ms(),
        )
        for call in calls:
            throttle.record_sent(call.instance)
            self._context.spawn(self._run_call(pool, scheduler, call))

    def add_stored_results(
        self,
        pool: str,
        results: Sequence[StoredResult],
    ) -> None:
        """Account for results that another scheduler of the pool requested."""
        scheduler = self._schedulers.get(pool)
        for result in results:
            scheduler.result_space.add(result)

    def get_result_ttl_ms(self, pool: str) -> float:
        """Return how long (ms) an instance stores a result until it expires."""
        profile = self._schedulers.find_profile(pool)
        return 0 if profile is None else profile.result_ttl_ms

    def _cancel_requester(self, requester: str) -> None:
        released = 0
        for pool in self._schedulers.get_pools():
            scheduler = self._schedulers.get(pool)
            scheduler.cancel_requester(requester)
            handles = scheduler.result_space.find_handles(requester)
            released += len(handles)
            self.release(pool, handles)
        if released:
            log_event(
                'asker_gone',
                step=_STEP,
                peer=requester,
                results=released,
            )

    def get_schedulers(self) -> SchedulerRegistry:
        """Return the schedulers of this process."""
        return self._schedulers

    def release(self, pool: str, handles: Sequence[str]) -> None:
        """Release results of a pool, whichever schedulers requested them."""
        by_producer: dict[str, list[str]] = {}
        for handle in handles:
            producer = self._schedulers.release(pool, handle)
            if producer:
                by_producer.setdefault(producer, []).append(handle)
        for producer, producer_handles in by_producer.items():
            self._context.spawn(
                self._release_at(
                    self._context,
                    producer,
                    tuple(producer_handles),
                ),
            )

    def forget_incarnation(self, instance: str) -> None:
        """
        Record that an instance has restarted under the same name.

        The new incarnation has no results and no calls of the previous one.
        A call to the terminated incarnation may hang on a dead connection:
        its pieces would wait until the timeout, and the new incarnation would
        stay idle.
        """
        self._schedulers.forget_instance(instance)
        self._calls.cancel_calls(instance)

    def _handle_slow_call(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
    ) -> None:
        self._outcomes.record_slow_call(pool, scheduler, call)
        self.advance(pool)

    async def _run_call(
        self,
        pool: str,
        scheduler: PieceScheduler,
        call: PieceCall,
    ) -> None:
        """
        Run one call to completion.

        A slow call is not cancelled: its instance would continue to process
        it, and the results would occupy space there under unknown handles.
        Instead its pieces are also sent to other instances.  The results of
        the slow call are used if they arrive first, and otherwise released.
        """
        with self._input_releases.releasing(call):
            response = await self._calls.run(
                call,
                on_slow=lambda: self._handle_slow_call(pool, scheduler, call),
            )
        if isinstance(response, Err):
            await self._outcomes.wait_for_crash_check(call, response.err_value)
        scheduler.finish(call)
        if isinstance(response, Err):
            self._outcomes.record_failure(
                pool,
                scheduler,
                call,
                response.err_value,
            )
        else:
            self._outcomes.record_results(
                pool,
                scheduler,
                call,
                response.ok_value,
            )
        self.advance(pool)


def _make_resolver(future: asyncio.Future[PieceResult]):
    def resolve(piece_result: PieceResult) -> None:
        if not future.done():
            future.set_result(piece_result)

    return resolve


def _get_handles(futures: Sequence[asyncio.Future[PieceResult]]) -> list[str]:
    return [
        future.result().handle
        for future in futures
        if future.done() and not future.cancelled() and future.result().handle
    ]
