"""Run the stages that precede the response to a request."""

import asyncio
import math

from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import Piece, PieceOutcome, PieceResult
from ragworthollow.pieces.locality import choose_local_domain
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.latency_estimate import LatencyEstimate
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'stages'
_REASONS = {
    PieceOutcome.late: Reason.stage_late,
    PieceOutcome.not_run: Reason.stage_late,
    PieceOutcome.input_gone: Reason.inputs_gone,
    PieceOutcome.refused: Reason.overloaded,
    PieceOutcome.drained: Reason.domain_drained,
}


class StageGraphRunner:
    """
    Run the stage graph of one request.

    Parameters
    ----------
    client : PieceClient
        Client that runs pieces.
    job : RequestJob
        The request.
    estimate : LatencyEstimate
        Estimates of the time that the request takes.
    failure_domain : str
        Failure domain in which the request itself is expected to run.
    """

    def __init__(
        self,
        *,
        client: PieceClient,
        job: RequestJob,
        estimate: LatencyEstimate,
        failure_domain: str,
    ) -> None:
        self._estimate = estimate
        self._failure_domain = failure_domain
        self._client = client
        self._job = job
        self._stages = job.route.stages
        self._handles: dict[int, tuple[str, ...]] = {}
        self._active_stages = estimate.active_stages
        self._announced: set[int] = set()
        self.has_produced_results = False

    async def run(self) -> Result[tuple[str, ...], UpstreamFailure]:
        """
        Run all stages, each as soon as the stages it depends on are done.

        Returns
        -------
        Result
            Handles of the results that the request itself reads, or the
            failure of a stage.
        """
        tasks: dict[int, asyncio.Task[UpstreamFailure | None]] = {}
        for position in self._active_stages:
            self._announce(position)
            tasks[position] = asyncio.ensure_future(
                self._run_stage(position, tasks),
            )
        try:
            # After one failure, the remaining results would be useless.
            for ended in asyncio.as_completed(tasks.values()):
                failure = await ended
                if failure is not None:
                    return Err(failure)
        finally:
            for task in tasks.values():
                task.cancel()
            for position in tuple(self._announced):
                self._withdraw(position)
        return Ok(self._collect_final_handles())

    def release(self) -> None:
        """Release all results."""
        for position in tuple(self._handles):
            self._release_stage(position)

    def _announce(self, position: int) -> None:
        self._announced.add(position)
        self._change_announced(position, 1)

    def _withdraw(self, position: int) -> None:
        self._announced.remove(position)
        self._change_announced(position, -1)

    def _change_announced(self, position: int, sign: int) -> None:
        stage = self._job.route.stages[position]
        pieces = self._job.request_parameters.piece_counts[position]
        self._client.announce(
            stage.pool,
            self._job.get_rank(),
            sign * pieces,
        )

    def _release_stage(self, position: int) -> None:
        stage = self._job.route.stages[position]
        self._client.release(stage.pool, self._handles.pop(position, ()))

    def _collect_final_handles(self) -> tuple[str, ...]:
        """Return the results that no other active stage reads."""
        return tuple(
            handle
            for position in self._active_stages
            if not self._estimate.get_consumers(position)
            for handle in self._handles[position]
        )

    async def _run_stage(
        self,
        position: int,
        tasks: dict[int, asyncio.Task[UpstreamFailure | None]],
    ) -> UpstreamFailure | None:
        # Yield to the event loop once, so that all stages have their tasks.
        await asyncio.sleep(0)
        stage = self._job.route.stages[position]
        dependencies = [
            dependency for dependency in stage.after if dependency in tasks
        ]
        await self._wait_to_save_space(position, tasks)
        for dependency in dependencies:
            failure = await asyncio.shield(tasks[dependency])
            if failure is not None:
                return failure
        inputs = tuple(
            handle
            for earlier in dependencies
            for handle in self._handles[earlier]
        )
        domain = choose_local_domain(
            self._sum_bytes_by_domain(position, dependencies),
        )
        pieces = self._make_pieces(
            position, inputs, domain, self._find_short_pool(dependencies)
        )
        self._withdraw(position)
        results = await self._client.run(stage.pool, pieces)
        self._handles[position] = tuple(
            result.handle for result in results if result.handle
        )
        if self._handles[position]:
            self.has_produced_results = True
        self._release_consumed(dependencies)
        return _find_failure(results, stage.pool)

    async def _wait_to_save_space(
        self,
        position: int,
        tasks: dict[int, asyncio.Task[UpstreamFailure | None]],
    ) -> None:
        """
        Wait before a stage whose large results would lie until others end.

        The request reads the results of all final stages together.  Results
        that are ready a second before the others take space for that second.
        """
        stage = self._job.route.stages[position]
        if not self._client.is_space_scarce or stage.after:
            return
        if stage.result_bytes < global_settings.LOCALITY_MIN_BYTES:
            return
        if self._estimate.get_consumers(position):
            return
        awaited = [
            tasks[dependency]
            for dependency in self._estimate.find_last_dependencies(position)
        ]
        waits_ms = self._client.get_waits_ms(
            (stage.pool,), self._job.get_rank()
        )
        latest_start_ms = (
            self._estimate.get_due_ms(position)
            - waits_ms[stage.pool]
            - global_settings.LATE_START_MARGIN_MS
        )
        timeout_ms = latest_start_ms - get_monotonic_ms()
        if awaited and timeout_ms > 0:
            await asyncio.wait(awaited, timeout=timeout_ms / 1000)

    def _get_expiry_ms(self, position: int) -> float:
        """
        Return until when the pieces of a stage are worth starting.

        Where space is scarce, pieces are given up when the answer would come
        too late for its caller or their inputs are about to expire: they would
        take space until then, in vain.
        """
        expiry_ms = self._estimate.get_expiry_ms()
        if not self._client.is_space_scarce:
            return expiry_ms
        dependencies = self._stages[position].after
        now_ms = get_monotonic_ms()
        kept_ms = [
            now_ms + self._get_result_ttl_ms(dependency)
            for dependency in dependencies
            if dependency in self._handles
        ]
        return min(
            expiry_ms,
            self._estimate.get_latest_useful_start_ms(position),
            *kept_ms,
        )

    def _get_result_ttl_ms(self, position: int) -> float:
        """Return how long the results of a stage are kept, in milliseconds."""
        name = self._stages[position].pool
        pool = self._job.route_table.pools.get(name)
        if pool is None or pool.pieces is None:
            return math.inf
        return pool.pieces.result_ttl_ms

    def _find_short_pool(self, dependencies: list[int]) -> str:
        """Return the pool that is short of space for the only input stage."""
        if len(dependencies) != 1:
            return ''
        dependency = dependencies[0]
        pool = self._stages[dependency].pool
        is_only_reader = len(self._estimate.get_consumers(dependency)) == 1
        if is_only_reader and self._client.is_short_of_space(pool):
            return pool
        return ''

    def _sum_bytes_by_domain(
        self,
        position: int,
        dependencies: list[int],
    ) -> dict[str, float]:
        """Sum the bytes that a stage exchanges with each failure domain."""
        stages = self._job.route.stages
        counts = self._job.request_parameters.piece_counts
        weights = {
            domain: stored_bytes * counts[position]
            for domain, stored_bytes in self._sum_result_bytes(
                dependencies,
            ).items()
        }
        # Stages run in the domain that stores the results they read; only the
        # results of final stages are read where the request itself runs.
        if not self._estimate.get_consumers(position):
            output_bytes = stages[position].result_bytes * counts[position]
            target = self._failure_domain
            weights[target] = weights.get(target, 0) + output_bytes
        return weights

    def _sum_result_bytes(self, positions: list[int]) -> dict[str, float]:
        """Sum the bytes of results by the domain in which they are stored."""
        weights: dict[str, float] = {}
        for position in positions:
            stage = self._job.route.stages[position]
            for handle in self._handles[position]:
                domain = self._client.find_failure_domain(stage.pool, handle)
                weights[domain] = weights.get(domain, 0) + stage.result_bytes
        return weights

    def _release_consumed(self, dependencies: list[int]) -> None:
        """Release results that all stages depending on them have read."""
        for dependency in dependencies:
            if all(
                consumer in self._handles
                for consumer in self._estimate.get_consumers(dependency)
            ):
                self._release_stage(dependency)

    def _make_pieces(
        self,
        position: int,
        inputs: tuple[str, ...],
        failure_domain: str,
        inputs_pool: str,
    ) -> tuple[Piece, ...]:
        stage = self._job.route.stages[position]
        counts = self._job.request_parameters.piece_counts
        due_ms = self._estimate.get_due_ms(position)
        expires_ms = self._get_expiry_ms(position)
        return tuple(
            Piece(
                request_id=self._job.request_parameters.request_id,
                position=position,
                number=number,
                key='' if inputs else self._job.request_parameters.piece_key,
                inputs=inputs,
                inputs_pool=inputs_pool,
                due_ms=due_ms,
                give_up_ms=self._estimate.get_give_up_ms(position),
                expires_ms=expires_ms,
                result_bytes=stage.result_bytes,
                failure_domain=failure_domain,
                priority=self._job.get_rank(),
                requester=self._client.requester,
                fingerprint=self._job.fingerprint,
                allowed_regions=self._job.get_allowed_regions(),
            )
            for number in range(counts[position])
        )


def _find_failure(
    results: tuple[PieceResult, ...],
    pool: str,
) -> UpstreamFailure | None:
    for result in results:
        if result.outcome is not PieceOutcome.done:
            return UpstreamFailure(
                outcome=Outcome.not_run,
                reason=_REASONS.get(result.outcome, Reason.stage_failed),
                step=_STEP,
                peer=pool,
                detail=f'a piece ended with outcome {result.outcome}',
                retry_after_ms=result.wait_ms or None,
            )
    return None
