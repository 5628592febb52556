"""Run the stages that precede the answer to a request."""

import asyncio

from result import Err, Ok, Result

from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import Piece, PieceOutcome, PieceResult
from ragworthollow.pieces.nearness import choose_domain
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.stage_way import StageWay
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'stages'
_REASONS = {
    PieceOutcome.late: Reason.stage_late,
    PieceOutcome.not_run: Reason.stage_late,
    PieceOutcome.input_gone: Reason.inputs_gone,
    PieceOutcome.refused: Reason.overloaded,
    PieceOutcome.drained: Reason.domain_drained,
}


class StageWork:
    """
    Run the stage graph of one request.

    Parameters
    ----------
    client : PieceClient
        Client that runs pieces.
    job : RequestJob
        The request.
    way : StageWay
        Estimates of the time that its stages take.
    failure_domain : str
        Failure domain in which the request itself is expected to run.
    """

    def __init__(
        self,
        *,
        client: PieceClient,
        job: RequestJob,
        way: StageWay,
        failure_domain: str,
    ) -> None:
        self._way = way
        self._failure_domain = failure_domain
        self._client = client
        self._job = job
        self._handles: dict[int, tuple[str, ...]] = {}
        self._active = way.active
        self._announced: set[int] = set()
        self.has_spent = False

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
        for position in self._active:
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
        return Ok(self._collect())

    def free(self) -> None:
        """Release all results."""
        for position in tuple(self._handles):
            self._free_stage(position)

    def _announce(self, position: int) -> None:
        self._announced.add(position)
        self._tell_pieces(position, 1)

    def _withdraw(self, position: int) -> None:
        self._announced.remove(position)
        self._tell_pieces(position, -1)

    def _tell_pieces(self, position: int, sign: int) -> None:
        stage = self._job.route.stages[position]
        pieces = self._job.terms.piece_counts[position]
        self._client.announce(
            stage.pool,
            self._job.get_priority(),
            sign * pieces,
        )

    def _free_stage(self, position: int) -> None:
        stage = self._job.route.stages[position]
        self._client.free(stage.pool, self._handles.pop(position, ()))

    def _collect(self) -> tuple[str, ...]:
        """Return the results that no other active stage reads."""
        return tuple(
            handle
            for position in self._active
            if not self._way.get_readers(position)
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
        self._withdraw(position)
        found = await self._client.run(stage.pool, pieces)
        self._handles[position] = tuple(
            one.handle for one in found if one.handle
        )
        if self._handles[position]:
            self.has_spent = True
        self._free_read(read)
        return _find_failure(found, stage.pool)

    def _weigh_domains(
        self,
        position: int,
        read: list[int],
    ) -> dict[str, float]:
        """Sum the bytes that a stage exchanges with each failure domain."""
        stages = self._job.route.stages
        counts = self._job.terms.piece_counts
        weights = {
            domain: lying_bytes * counts[position]
            for domain, lying_bytes in self._weigh_results(read).items()
        }
        # Stages are placed near the results that they read; only the results
        # of final stages are read where the request itself runs.
        if not self._way.get_readers(position):
            made_bytes = stages[position].result_bytes * counts[position]
            home = self._failure_domain
            weights[home] = weights.get(home, 0) + made_bytes
        return weights

    def _weigh_results(self, positions: list[int]) -> dict[str, float]:
        """Sum the bytes of results by the domain in which they are stored."""
        weights: dict[str, float] = {}
        for position in positions:
            stage = self._job.route.stages[position]
            for handle in self._handles[position]:
                domain = self._client.find_domain(stage.pool, handle)
                weights[domain] = weights.get(domain, 0) + stage.result_bytes
        return weights

    def _free_read(self, read: list[int]) -> None:
        """Release results once all stages that need them have read them."""
        for before in read:
            if all(
                reader in self._handles
                for reader in self._way.get_readers(before)
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
        due_ms = self._way.get_due_ms(position)
        return tuple(
            Piece(
                request_id=self._job.terms.request_id,
                position=position,
                number=number,
                key='' if inputs else self._job.terms.piece_key,
                inputs=inputs,
                due_ms=due_ms,
                give_up_ms=self._way.get_give_up_ms(position),
                expires_ms=self._way.get_expiry_ms(),
                result_bytes=stage.result_bytes,
                failure_domain=failure_domain,
                priority=self._job.get_priority(),
                asker=self._client.asker,
                fingerprint=self._job.fingerprint,
                homes=self._job.get_homes(),
            )
            for number in range(counts[position])
        )


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
