"""Decide which pieces go to which instance, and when."""

import itertools
from collections.abc import Sequence

from ragworthollow.conf import global_settings
from ragworthollow.pieces.call import PieceCall
from ragworthollow.pieces.call_limit import find_limit
from ragworthollow.pieces.drain_rate import DrainRate
from ragworthollow.pieces.order import (
    is_held,
    is_hopeless,
    is_late,
    is_patient,
    prefer_domain,
    rank,
    rank_piece,
)
from ragworthollow.pieces.piece import Piece, PieceOutcome, PieceResult
from ragworthollow.pieces.result_room import ResultRoom
from ragworthollow.pieces.running_calls import RunningCalls
from ragworthollow.pieces.selection import select_pieces
from ragworthollow.pieces.waiting_piece import WaitingPiece
from ragworthollow.pieces.waits import estimate_domain_waits, estimate_wait_ms
from ragworthollow.routes.homes import may_run_in
from ragworthollow.routes.upstream_pool import PieceProfile
from ragworthollow.upstreams import LoadBook, UpstreamInstance


class PieceGate:
    """
    Queue the pieces of one pool and fill calls with them.

    A call costs the same fixed time for one piece as for a full batch, so
    pieces of different requests share calls.  Pieces are taken by the latest
    start that still meets their objective; those that have missed it come
    after all others, since an answer in time is worth several late ones.
    """

    def __init__(self) -> None:
        self.room = ResultRoom()
        self._queue: list[WaitingPiece] = []
        self.running = RunningCalls()
        self._rate = DrainRate()

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
        Queue a piece again, for another instance if there is one.

        Parameters
        ----------
        waiting : WaitingPiece
            The piece.
        failed : str
            Instance that did not make it.
        instances : sequence of UpstreamInstance
            Instances that may get work.
        """
        waiting.attempts += 1
        waiting.avoid.add(failed)
        homes = waiting.piece.homes
        allowed = [one for one in instances if may_run_in(one.region, homes)]
        if waiting.avoid.issuperset(one.instance for one in allowed):
            waiting.avoid.clear()
        self._queue.append(waiting)

    def get_depth(self) -> int:
        """Return the number of pieces that wait."""
        return len(self._queue)

    def finish(self, call: PieceCall) -> None:
        """Note that a call has ended."""
        self.running.own.remove(call)

    def drop_asker(self, asker: str) -> None:
        """Want no piece any more that a gateway which is gone has asked for."""
        for waiting in self._queue:
            if waiting.piece.asker == asker:
                waiting.is_wanted = False

    def release_queue(self) -> None:
        """Send the pieces that wait back to their askers, for another gate."""
        for waiting in self._queue:
            waiting.settle(PieceResult(outcome=PieceOutcome.moved))
        self._queue = []

    def refuse_queue(self) -> None:
        """Give the pieces that wait up: no instance may make them."""
        for waiting in self._queue:
            waiting.settle(PieceResult(outcome=PieceOutcome.drained))
        self._queue = []

    def drop_unwanted(self, now_ms: float) -> None:
        """Take out pieces that nobody waits for any more."""
        staying = []
        for waiting in self._queue:
            if not waiting.is_wanted:
                continue
            if is_hopeless(waiting, now_ms):
                waiting.settle(PieceResult(outcome=PieceOutcome.not_run))
                continue
            staying.append(waiting)
        self._queue = staying

    def estimate_wait_ms(
        self,
        profile: PieceProfile,
        instances: int,
        piece: Piece,
        now_ms: float,
    ) -> float:
        """
        Estimate how long a piece that comes now waits for its call.

        Parameters
        ----------
        profile : PieceProfile
            Of the pool.
        instances : int
            Instances that may get work.
        piece : Piece
            Only pieces that go before it count.
        now_ms : float
            Time on the monotonic clock.
        """
        own = rank_piece(piece, now_ms)
        ahead = sum(rank_piece(one.piece, now_ms) <= own for one in self._queue)
        return self._estimate_ms(profile, instances, ahead, now_ms)

    def estimate_waits_ms(
        self,
        profile: PieceProfile,
        instances: int,
        announced: Sequence[int],
        now_ms: float,
    ) -> list[float]:
        """
        Estimate the waits of requests that are due later than all queued.

        Parameters
        ----------
        profile : PieceProfile
            Of the pool.
        instances : int
            Instances that may get work.
        announced : sequence of int
            Pieces that are on their way here, by priority.
        now_ms : float
            Time on the monotonic clock.

        Returns
        -------
        list of float
            By priority, 0 first; only pieces that are at least as urgent
            count, so that the less urgent are refused first.
        """
        counts = list(announced)
        for one in self._queue:
            if not is_late(one.piece, now_ms):
                counts[min(one.piece.priority, len(counts) - 1)] += 1
        return [
            self._estimate_ms(profile, instances, ahead, now_ms)
            for ahead in itertools.accumulate(counts)
        ]

    def _estimate_ms(
        self,
        profile: PieceProfile,
        instances: int,
        ahead: int,
        now_ms: float,
    ) -> float:
        nominal_ms = estimate_wait_ms(
            profile, instances, self.running.own, ahead, now_ms
        )
        return max(nominal_ms, self._rate.estimate_ms(ahead))

    def plan(
        self,
        profile: PieceProfile,
        instances: Sequence[UpstreamInstance],
        book: LoadBook,
        now_ms: float,
    ) -> list[PieceCall]:
        """
        Make the calls that are to be sent now.

        Parameters
        ----------
        profile : PieceProfile
            Of the pool.
        instances : sequence of UpstreamInstance
            Instances that may get work.
        book : LoadBook
            Which of them are suspect.
        now_ms : float
            Time on the monotonic clock.

        Returns
        -------
        list of PieceCall
            Each noted as running until `finish`.
        """
        self.drop_unwanted(now_ms)
        if not self._queue:
            self._rate.note(started=0, is_backlogged=False, now_ms=now_ms)
            return []
        idle = self._find_idle(profile, instances, book, now_ms)
        used = self.room.get_used(now_ms)
        for foreign in self.running.get_foreign(now_ms):
            taken_bytes = used.get(foreign.instance, 0) + foreign.result_bytes
            used[foreign.instance] = taken_bytes
        waits_ms = estimate_domain_waits(
            profile, instances, self.running.own, self._queue, now_ms
        )
        self._queue.sort(key=lambda one: rank(one, now_ms))
        calls = []
        while idle and self._queue:
            instance = prefer_domain(idle, self._queue[0])
            idle.remove(instance)
            wanted = self._choose_wanted(instance, waits_ms, now_ms)
            call = self._fill(profile, instance, wanted, used, now_ms)
            if call is not None:
                calls.append(call)
        self._rate.note(
            started=sum(len(call.waiting) for call in calls),
            is_backlogged=bool(self._queue),
            now_ms=now_ms,
        )
        return calls

    def _choose_wanted(
        self,
        instance: UpstreamInstance,
        waits_ms: dict[str, float],
        now_ms: float,
    ) -> list[WaitingPiece]:
        """
        Return what an instance may make, in the order of its taking.

        Among stages that have not begun those near their reader go before
        those that can still be in time near theirs.  In a long queue each
        instance then finds full calls of near pieces, which moves a tenth
        fewer bytes between domains.
        """
        wanted = [
            one
            for one in self._queue
            if not is_held(one, instance, waits_ms, now_ms)
        ]
        later = [
            one
            for one in wanted
            if not one.stage_run.is_begun
            and is_patient(one, instance, waits_ms, now_ms)
        ]
        last = {id(one) for one in later}
        return [one for one in wanted if id(one) not in last] + later

    def _find_idle(
        self,
        profile: PieceProfile,
        instances: Sequence[UpstreamInstance],
        book: LoadBook,
        now_ms: float,
    ) -> list[UpstreamInstance]:
        busy = self.running.get_occupied(now_ms)
        idle = [
            one
            for one in instances
            if busy.count(one.instance) < profile.concurrency
        ]
        trusted = [
            one
            for one in idle
            if book.get(one.instance).suspect_until_ms <= now_ms
        ]
        # With every instance suspect, a doubtful call beats none.
        all_suspect = all(
            book.get(one.instance).suspect_until_ms > now_ms
            for one in instances
        )
        return idle if all_suspect else trusted

    def _fill(
        self,
        profile: PieceProfile,
        instance: UpstreamInstance,
        wanted: Sequence[WaitingPiece],
        used: dict[str, int],
        now_ms: float,
    ) -> PieceCall | None:
        room_bytes = profile.room_bytes / global_settings.ROOM_MARGIN
        free_bytes = room_bytes - used.get(instance.instance, 0)
        taken = select_pieces(
            [one for one in wanted if _may_make(instance, one)],
            profile,
            free_bytes,
        )
        if not taken:
            return None
        for begun in taken:
            begun.stage_run.is_begun = True
        limit = find_limit(profile, instance, taken, wanted, self._queue)
        chosen = {id(one) for one in taken}
        self._queue = [one for one in self._queue if id(one) not in chosen]
        call = PieceCall(
            instance=instance,
            waiting=tuple(taken),
            started_ms=now_ms,
            expected_ms=profile.estimate_ms(len(taken)),
            limit=limit,
            left=len(self._queue),
            free_bytes=free_bytes,
        )
        self.running.own.append(call)
        return call


def _may_make(instance: UpstreamInstance, waiting: WaitingPiece) -> bool:
    """Tell whether an instance may make a piece, and has not failed to."""
    if not may_run_in(instance.region, waiting.piece.homes):
        return False
    return instance.instance not in waiting.avoid
