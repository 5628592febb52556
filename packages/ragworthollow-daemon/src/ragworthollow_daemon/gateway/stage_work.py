"""Do the work that a request needs before it can run."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import Piece, PieceOutcome, PieceResult
from ragworthollow.routes import RouteTable
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'stages'
_REASONS = {
    PieceOutcome.late: Reason.stage_late,
    PieceOutcome.not_run: Reason.stage_late,
    PieceOutcome.input_gone: Reason.inputs_gone,
}


@dataclass(kw_only=True, slots=True)
class StageResults:
    """
    Hold the results of a request's stages.

    Attributes
    ----------
    handles : dict
        Handles by the position of the stage.
    pools : dict
        Pool of each stage, by position.
    """

    handles: dict[int, tuple[str, ...]] = field(default_factory=dict)
    pools: dict[int, str] = field(default_factory=dict)


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
    """

    def __init__(
        self,
        *,
        client: PieceClient,
        job: RequestJob,
        table: RouteTable,
    ) -> None:
        self._client = client
        self._job = job
        self._table = table
        self.results = StageResults()

    async def run(self) -> Result[tuple[str, ...], UpstreamFailure]:
        """
        Do all stages, each as soon as those before it are done.

        Returns
        -------
        Result
            Handles of the results that the request itself reads, or why
            there are none.
        """
        counts = self._job.terms.piece_counts
        stages = self._job.route.stages
        active = tuple(
            position
            for position in range(len(stages))
            if position < len(counts) and counts[position] > 0
        )
        tasks: dict[int, asyncio.Task[UpstreamFailure | None]] = {}
        for position in active:
            tasks[position] = asyncio.ensure_future(
                self._run_stage(position, tasks),
            )
        try:
            ended = await asyncio.gather(*tasks.values())
        finally:
            for task in tasks.values():
                task.cancel()
        for failure in ended:
            if failure is not None:
                return Err(failure)
        return Ok(self._collect(active))

    def free(self) -> None:
        """Give all results up."""
        for position, handles in self.results.handles.items():
            self._client.free(self.results.pools[position], handles)
        self.results.handles.clear()

    def _collect(self, active: tuple[int, ...]) -> tuple[str, ...]:
        """Return what no other active stage reads."""
        stages = self._job.route.stages
        read = {
            before for position in active for before in stages[position].after
        }
        return tuple(
            handle
            for position in active
            if position not in read
            for handle in self.results.handles.get(position, ())
        )

    async def _run_stage(
        self,
        position: int,
        tasks: dict[int, asyncio.Task[UpstreamFailure | None]],
    ) -> UpstreamFailure | None:
        # One turn of the loop, so that all stages have their tasks.
        await asyncio.sleep(0)
        stage = self._job.route.stages[position]
        handles_by_position = self.results.handles
        inputs: list[str] = []
        for before in stage.after:
            if before not in tasks:
                continue
            failure = await asyncio.shield(tasks[before])
            if failure is not None:
                return failure
            inputs.extend(handles_by_position[before])
        pieces = self._make_pieces(position, tuple(inputs))
        found = await self._client.run(stage.pool, pieces)
        handles = tuple(one.handle for one in found if one.handle)
        self.results.pools[position] = stage.pool
        self.results.handles[position] = handles
        return _find_failure(found, stage.pool)

    def _make_pieces(
        self,
        position: int,
        inputs: tuple[str, ...],
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
                expires_ms=self._job.deadline_ms,
                result_bytes=stage.result_bytes,
            )
            for number in range(counts[position])
        )

    def _get_due_ms(self, position: int) -> float:
        """Return the latest start that still meets the objective."""
        goal_ms = self._job.received_ms + self._job.route.objective_ms
        return goal_ms - self._get_rest_ms(position)

    def _get_rest_ms(self, position: int) -> float:
        """Estimate the way from the start of a stage to the first event."""
        counts = self._job.terms.piece_counts
        stages = self._job.route.stages
        pool = self._table.pools.get(stages[position].pool)
        own_ms: float = 0
        if pool is not None and pool.pieces is not None:
            own_ms = pool.pieces.estimate_ms(
                min(counts[position], pool.pieces.batch_limit),
            )
        later_ms = [
            self._get_rest_ms(after)
            for after in range(len(stages))
            if position in stages[after].after
            and after < len(counts)
            and counts[after]
        ]
        return own_ms + max(later_ms, default=0)


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
            )
    return None
