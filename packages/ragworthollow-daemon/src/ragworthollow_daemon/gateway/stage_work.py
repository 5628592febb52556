"""Do the work that a request needs before it can run."""

import asyncio
from collections.abc import Mapping

from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import Piece, PieceOutcome, PieceResult
from ragworthollow.pieces.nearness import choose_domain
from ragworthollow.routes import RouteTable
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'stages'
_REASONS = {
    PieceOutcome.late: Reason.stage_late,
    PieceOutcome.not_run: Reason.stage_late,
    PieceOutcome.input_gone: Reason.inputs_gone,
    PieceOutcome.refused: Reason.overloaded,
}


class StageWork:
    """
    Run the stage graph of one request.

    Parameters
    ----------
    client : PieceClient
        Has pieces done.
    job : RequestJob
        The request.
    table : RouteTable
        Configuration by which the request is served.
    failure_domain : str
        Where the request itself is expected to run.
    answer_ms : float
        Expected time from the end of all stages to the first event.
    """

    def __init__(
        self,
        *,
        client: PieceClient,
        job: RequestJob,
        table: RouteTable,
        failure_domain: str,
        answer_ms: float,
    ) -> None:
        self._answer_ms = answer_ms
        self._failure_domain = failure_domain
        self._client = client
        self._job = job
        self._table = table
        self._handles: dict[int, tuple[str, ...]] = {}
        self._active = job.get_active_stages()

    async def run(self) -> Result[tuple[str, ...], UpstreamFailure]:
        """
        Do all stages, each as soon as those before it are done.

        Returns
        -------
        Result
            Handles of the results that the request itself reads, or why
            there are none.
        """
        tasks: dict[int, asyncio.Task[UpstreamFailure | None]] = {}
        for position in self._active:
            tasks[position] = asyncio.ensure_future(
                self._run_stage(position, tasks),
            )
        try:
            # One failure ends all: the rest would be made in vain.
            for ended in asyncio.as_completed(tasks.values()):
                failure = await ended
                if failure is not None:
                    return Err(failure)
        finally:
            for task in tasks.values():
                task.cancel()
        return Ok(self._collect())

    def free(self) -> None:
        """Give all results up."""
        for position in tuple(self._handles):
            self._free_stage(position)

    def _free_stage(self, position: int) -> None:
        stage = self._job.route.stages[position]
        self._client.free(stage.pool, self._handles.pop(position, ()))

    def _collect(self) -> tuple[str, ...]:
        """Return what no other active stage reads."""
        return tuple(
            handle
            for position in self._active
            if not self._get_readers(position)
            for handle in self._handles[position]
        )

    def _get_readers(self, position: int) -> list[int]:
        stages = self._job.route.stages
        return [
            reader
            for reader in self._active
            if position in stages[reader].after
        ]

    async def _run_stage(
        self,
        position: int,
        tasks: dict[int, asyncio.Task[UpstreamFailure | None]],
    ) -> UpstreamFailure | None:
        # One turn of the loop, so that all stages have their tasks.
        await asyncio.sleep(0)
        stage = self._job.route.stages[position]
        read = [before for before in stage.after if before in tasks]
        for before in read:
            failure = await asyncio.shield(tasks[before])
            if failure is not None:
                return failure
        inputs = tuple(
            handle for earlier in read for handle in self._handles[earlier]
        )
        domain = choose_domain(self._weigh_domains(position, read))
        pieces = self._make_pieces(position, inputs, domain)
        found = await self._client.run(stage.pool, pieces)
        self._handles[position] = tuple(
            one.handle for one in found if one.handle
        )
        self._free_read(read)
        return _find_failure(found, stage.pool)

    def _weigh_domains(
        self,
        position: int,
        read: list[int],
    ) -> dict[str, float]:
        """Count the bytes between a stage and what lies in each domain."""
        stages = self._job.route.stages
        counts = self._job.terms.piece_counts
        weights = {
            domain: lying_bytes * counts[position]
            for domain, lying_bytes in self._weigh_results(read).items()
        }
        # Where the results will be read is open but for the last stage; the
        # request's own domain makes all pieces of a stage agree on one.
        reads = sum(counts[one] for one in self._get_readers(position))
        made_bytes = stages[position].result_bytes * counts[position]
        home = self._failure_domain
        weights[home] = weights.get(home, 0) + made_bytes * max(1, reads)
        return weights

    def _weigh_results(self, positions: list[int]) -> dict[str, float]:
        """Count the bytes of results by the domain in which they lie."""
        weights: dict[str, float] = {}
        for position in positions:
            stage = self._job.route.stages[position]
            for handle in self._handles[position]:
                domain = self._client.find_domain(stage.pool, handle)
                weights[domain] = weights.get(domain, 0) + stage.result_bytes
        return weights

    def _free_read(self, read: list[int]) -> None:
        """Free results that every stage which needs them has read."""
        for before in read:
            if all(
                reader in self._handles for reader in self._get_readers(before)
            ):
                self._free_stage(before)

    def _make_pieces(
        self,
        position: int,
        inputs: tuple[str, ...],
        failure_domain: str,
    ) -> tuple[Piece, ...]:
        stage = self._job.route.stages[position]
        counts = self._job.terms.piece_counts
        due_ms = self._get_due_ms(position)
        return tuple(
            Piece(
                request_id=self._job.terms.request_id,
                position=position,
                number=number,
                key='' if inputs else self._job.terms.piece_key,
                inputs=inputs,
                due_ms=due_ms,
                expires_ms=self._get_expiry_ms(),
                result_bytes=stage.result_bytes,
                failure_domain=failure_domain,
                priority=self._job.get_priority(),
            )
            for number in range(counts[position])
        )

    def _get_expiry_ms(self) -> float:
        """Return when waiting for stage work is given up."""
        patience_ms = (
            self._job.route.objective_ms * global_settings.STAGE_PATIENCE
        )
        return min(
            self._job.deadline_ms,
            self._job.received_ms + patience_ms,
        )

    def find_lateness_ms(self, waits_ms: Mapping[str, float]) -> float:
        """
        Estimate by how much a request that begins now misses its objective.

        Parameters
        ----------
        waits_ms : mapping of str to float
            Expected waits by pool.

        Returns
        -------
        float
            Milliseconds; 0 when it should be in time, or when no pool has a
            queue: an estimate of the work alone refuses nobody.
        """
        heads = [self._get_rest_ms(one, waits_ms) for one in self._active]
        bare = [self._get_rest_ms(one, {}) for one in self._active]
        way_ms = max(heads, default=0)
        if way_ms <= max(bare, default=0):
            return 0
        goal_ms = self._job.received_ms + self._job.route.objective_ms
        ends_ms = get_monotonic_ms() + way_ms + self._answer_ms
        return max(0, ends_ms - goal_ms)

    def _get_due_ms(self, position: int) -> float:
        """Return the latest start that still meets the objective."""
        goal_ms = self._job.received_ms + self._job.route.objective_ms
        return goal_ms - self._answer_ms - self._get_rest_ms(position, {})

    def _get_rest_ms(
        self,
        position: int,
        waits_ms: Mapping[str, float],
    ) -> float:
        """Estimate the way from the start of a stage to the end of all."""
        counts = self._job.terms.piece_counts
        stages = self._job.route.stages
        pool = self._table.pools.get(stages[position].pool)
        own_ms: float = 0
        if pool is not None and pool.pieces is not None:
            own_ms = pool.pieces.estimate_ms(
                min(counts[position], pool.pieces.batch_limit),
            )
        later_ms = [
            self._get_rest_ms(reader, waits_ms)
            for reader in self._get_readers(position)
        ]
        wait_ms = waits_ms.get(stages[position].pool, 0)
        return wait_ms + own_ms + max(later_ms, default=0)


def _find_failure(
    found: tuple[PieceResult, ...],
    pool: str,
) -> UpstreamFailure | None:
    for one in found:
        if one.outcome is not PieceOutcome.done:
            return UpstreamFailure(
                outcome=Outcome.not_run,
                reason=_REASONS.get(one.outcome, Reason.stage_failed),
                step=_STEP,
                peer=pool,
                detail=f'a piece ended {one.outcome}',
                retry_after_ms=one.wait_ms or None,
            )
    return None
