"""Schedule the queued pieces of a pool on its instances."""

import itertools
from collections.abc import Sequence

from ragworthollow.conf import global_settings
from ragworthollow.pieces.batch_limit import find_batch_limit
from ragworthollow.pieces.call import PieceCall
from ragworthollow.pieces.order import (
    can_wait_for_domain,
    choose_idle_instance,
    get_piece_key,
    get_queue_key,
    is_late,
    should_give_up,
    should_wait_for_domain,
)
from ragworthollow.pieces.piece import Piece, PieceOutcome, PieceResult
from ragworthollow.pieces.queue_throughput import QueueThroughput
from ragworthollow.pieces.result_space import ResultSpace
from ragworthollow.pieces.running_calls import RunningCalls
from ragworthollow.pieces.selection import select_pieces
from ragworthollow.pieces.space_shortage import SpaceShortage
from ragworthollow.pieces.wait_error import WaitError
from ragworthollow.pieces.waiting_piece import WaitingPiece
from ragworthollow.pieces.waits import estimate_domain_waits, estimate_wait_ms
from ragworthollow.routes.allowed_regions import is_region_allowed
from ragworthollow.routes.upstream_pool import PieceProfile
from ragworthollow.upstreams import LoadTracker, UpstreamInstance


class PieceScheduler:
    """
    Queue the pieces of one pool and batch them into calls.

    Every call has a fixed cost, whether it carries one piece or a full batch,
    so pieces of different requests share calls.  Pieces are ordered by the
    latest start that still meets their latency objective.  Pieces that have
    missed it come last, since one response in time is worth several late
    responses.

    Attributes
    ----------
    is_held : bool
        Whether no calls are started.
    """

    def __init__(self) -> None:
        self.result_space = ResultSpace()
        self._queue: list[WaitingPiece] = []
        self.running = RunningCalls()
        self._throughput = QueueThroughput()
        self._shortage = SpaceShortage()
        self.wait_error = WaitError()
        self.is_held = False

    def submit(self, waiting: WaitingPiece) -> None:
        """Queue a piece."""
        self._queue.append(waiting)

    def resubmit(
        self,
        waiting: WaitingPiece,
        failed: str,
        instances: Sequence[UpstreamInstance],
    ) -> None:
        """
        Queue a piece again, for another instance if possible.

        Parameters
        ----------
        waiting : WaitingPiece
            Piece to queue.
        failed : str
            Instance that did not return its result.
        instances : sequence of UpstreamInstance
            Instances that may receive work.
        """
        waiting.attempts += 1
        waiting.stage_run.unstarted_pieces += 1
        waiting.avoid.add(failed)
        allowed_regions = waiting.piece.allowed_regions
        allowed = [
            instance
            for instance in instances
            if is_region_allowed(instance.region, allowed_regions)
        ]
        if waiting.avoid.issuperset(instance.instance for instance in allowed):
            waiting.avoid.clear()
        self._queue.append(waiting)

    def get_depth(self) -> int:
        """Return the number of queued pieces."""
        return len(self._queue)

    def finish(self, call: PieceCall) -> None:
        """Record that a call has ended."""
        self.running.own.remove(call)

    def cancel_requester(self, requester: str) -> None:
        """Cancel the queued pieces of a gateway that has terminated."""
        for waiting in self._queue:
            if waiting.piece.requester == requester:
                waiting.is_awaited = False

    def release_queue(self) -> None:
        """Return queued pieces to their requesters for another scheduler."""
        for waiting in self._queue:
            waiting.resolve(PieceResult(outcome=PieceOutcome.moved))
        self._queue = []

    def refuse_queue(self) -> None:
        """Refuse all queued pieces because no instance may process them."""
        for waiting in self._queue:
            waiting.resolve(PieceResult(outcome=PieceOutcome.drained))
        self._queue = []

    def drop_unawaited(self, now_ms: float) -> None:
        """Remove pieces that are no longer awaited or are given up."""
        remaining = []
        for waiting in self._queue:
            if not waiting.is_awaited:
                continue
            if should_give_up(waiting, now_ms):
                waiting.resolve(PieceResult(outcome=PieceOutcome.not_run))
                continue
            remaining.append(waiting)
        self._queue = remaining

    def estimate_wait_ms(
        self,
        profile: PieceProfile,
        instances: int,
        piece: Piece,
        now_ms: float,
    ) -> float:
        """
        Estimate how long a piece that arrives now waits for its call.

        Parameters
        ----------
        profile : PieceProfile
            Profile of the pool.
        instances : int
            Number of instances that may receive work.
        piece : Piece
            Arriving piece; only queued pieces ahead of it count.
        now_ms : float
            Current time on the monotonic clock.
        """
        own_key = get_piece_key(piece, now_ms)
        pieces_ahead = sum(
            get_piece_key(waiting.piece, now_ms) <= own_key
            for waiting in self._queue
        )
        return self._estimate_ms(profile, instances, pieces_ahead, now_ms)

    def estimate_waits_ms(
        self,
        profile: PieceProfile,
        instances: int,
        announced: Sequence[int],
        now_ms: float,
    ) -> list[float]:
        """
        Estimate the waits of requests due later than all queued pieces.

        Parameters
        ----------
        profile : PieceProfile
            Profile of the pool.
        instances : int
            Number of instances that may receive work.
        announced : sequence of int
            Number of announced pieces by priority.
        now_ms : float
            Current time on the monotonic clock.

        Returns
        -------
        list of float
            Waits in milliseconds by priority, 0 first.  Each counts only
            pieces that are at least as urgent, so that less urgent requests
            are refused first.
        """
        counts = list(announced)
        for waiting in self._queue:
            if not is_late(waiting.piece, now_ms):
                counts[min(waiting.piece.priority, len(counts) - 1)] += 1
        error_ms = self.wait_error.get_ms(now_ms)
        return [
            self._estimate_ms(profile, instances, pieces_ahead, now_ms)
            + (error_ms if pieces_ahead else 0)
            for pieces_ahead in itertools.accumulate(counts)
        ]

    def _estimate_ms(
        self,
        profile: PieceProfile,
        instances: int,
        pieces_ahead: int,
        now_ms: float,
    ) -> float:
        nominal_ms = estimate_wait_ms(
            profile, instances, self.running.own, pieces_ahead, now_ms
        )
        return max(nominal_ms, self._throughput.estimate_ms(pieces_ahead))

    def plan(
        self,
        profile: PieceProfile,
        instances: Sequence[UpstreamInstance],
        load_tracker: LoadTracker,
        now_ms: float,
    ) -> list[PieceCall]:
        """
        Create the calls that are to be sent now.

        Parameters
        ----------
        profile : PieceProfile
            Profile of the pool.
        instances : sequence of UpstreamInstance
            Instances that may receive work.
        load_tracker : LoadTracker
            Load and health of the instances.
        now_ms : float
            Current time on the monotonic clock.

        Returns
        -------
        list of PieceCall
            New calls; each counts as running until it is passed to `finish`.
        """
        self.drop_unawaited(now_ms)
        if self.is_held:
            return []
        if not self._queue:
            self._throughput.record(
                started=0, is_backlogged=False, now_ms=now_ms
            )
            return []
        idle = self._find_idle(profile, instances, load_tracker, now_ms)
        used = self.result_space.get_used_bytes(now_ms)
        for remote in self.running.get_remote_calls(now_ms):
            taken_bytes = used.get(remote.instance, 0) + remote.result_bytes
            used[remote.instance] = taken_bytes
        waits_ms = estimate_domain_waits(
            profile, instances, self.running.own, self._queue, now_ms
        )
        self._queue.sort(key=lambda waiting: get_queue_key(waiting, now_ms))
        calls = []
        while idle and self._queue:
            instance = choose_idle_instance(idle, self._queue[0])
            idle.remove(instance)
            candidates = self._list_candidates(instance, waits_ms, now_ms)
            call = self._create_call(
                profile, instance, candidates, used, now_ms
            )
            if call is not None:
                calls.append(call)
        self._record_shortage(profile, len(instances), calls, now_ms)
        self._throughput.record(
            started=sum(len(call.pieces) for call in calls),
            is_backlogged=bool(self._queue),
            now_ms=now_ms,
        )
        return calls

    def is_short_of_space(self, now_ms: float) -> bool:
        """Return whether space for results limits the pool's throughput."""
        return self._shortage.is_short(now_ms)

    def _record_shortage(
        self,
        profile: PieceProfile,
        instances: int,
        calls: Sequence[PieceCall],
        now_ms: float,
    ) -> None:
        pieces_per_round = max(1, instances) * profile.batch_limit
        self._shortage.record(
            calls,
            queued_calls=len(self._queue) / pieces_per_round,
            now_ms=now_ms,
        )

    def _list_candidates(
        self,
        instance: UpstreamInstance,
        waits_ms: dict[str, float],
        now_ms: float,
    ) -> list[WaitingPiece]:
        """
        Return the pieces that an instance may process, most preferred first.

        Pieces of unstarted stages that can still be in time in a different,
        preferred failure domain come last.  With a long queue, each instance
        then fills its calls with pieces that prefer its own domain, which
        moves a tenth fewer bytes between domains.
        """
        candidates = [
            waiting
            for waiting in self._queue
            if not should_wait_for_domain(waiting, instance, waits_ms, now_ms)
        ]
        deferred = [
            waiting
            for waiting in candidates
            if not waiting.stage_run.is_started
            and can_wait_for_domain(waiting, instance, waits_ms, now_ms)
        ]
        deferred_ids = {id(waiting) for waiting in deferred}
        return [
            waiting for waiting in candidates if id(waiting) not in deferred_ids
        ] + deferred

    def _find_idle(
        self,
        profile: PieceProfile,
        instances: Sequence[UpstreamInstance],
        load_tracker: LoadTracker,
        now_ms: float,
    ) -> list[UpstreamInstance]:
        busy = self.running.get_busy_instances(now_ms)
        idle = [
            instance
            for instance in instances
            if busy.count(instance.instance) < profile.concurrency
        ]
        trusted = [
            instance
            for instance in idle
            if load_tracker.get(instance.instance).suspect_until_ms <= now_ms
        ]
        # If every instance is suspect, a call that may fail is better than no
        # call.
        all_suspect = all(
            load_tracker.get(instance.instance).suspect_until_ms > now_ms
            for instance in instances
        )
        return idle if all_suspect else trusted

    def _create_call(
        self,
        profile: PieceProfile,
        instance: UpstreamInstance,
        candidates: Sequence[WaitingPiece],
        used: dict[str, int],
        now_ms: float,
    ) -> PieceCall | None:
        space_bytes = (
            profile.result_space_bytes / global_settings.RESULT_SPACE_MARGIN
        )
        free_bytes = space_bytes - used.get(instance.instance, 0)
        taken = select_pieces(
            [
                waiting
                for waiting in candidates
                if _may_process(instance, waiting)
            ],
            profile,
            free_bytes,
        )
        if not taken:
            return None
        for selected in taken:
            selected.stage_run.record_start(now_ms)
        limit = find_batch_limit(
            profile, instance, taken, candidates, self._queue
        )
        taken_ids = {id(waiting) for waiting in taken}
        self._queue = [
            waiting for waiting in self._queue if id(waiting) not in taken_ids
        ]
        call = PieceCall(
            instance=instance,
            pieces=tuple(taken),
            started_ms=now_ms,
            expected_ms=profile.estimate_ms(len(taken)),
            limit=limit,
            remaining_pieces=len(self._queue),
            free_bytes=free_bytes,
            untracked_bytes=self.result_space.get_untracked_bytes(
                instance.instance,
            ),
        )
        self.running.own.append(call)
        return call


def _may_process(instance: UpstreamInstance, waiting: WaitingPiece) -> bool:
    """Return whether an instance may process a piece and has not failed it."""
    if not is_region_allowed(instance.region, waiting.piece.allowed_regions):
        return False
    return instance.instance not in waiting.avoid
