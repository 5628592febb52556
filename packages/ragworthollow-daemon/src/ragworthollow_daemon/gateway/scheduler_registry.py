"""Hold the piece schedulers that this process hosts."""

import math
from collections.abc import Sequence

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.pieces import (
    AnnouncedWork,
    PeerAnnouncements,
    Piece,
    PieceOutcome,
    PieceResult,
    PieceScheduler,
)
from ragworthollow.platform.stage_wire import get_producer_address
from ragworthollow.routes import PieceProfile
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_STEP = 'pieces'


class SchedulerRegistry:
    """
    Hold one scheduler for each pool whose pieces arrived here.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._schedulers: dict[str, PieceScheduler] = {}
        self.announced = AnnouncedWork()
        self.peer_announcements = PeerAnnouncements()

    def get(self, pool: str) -> PieceScheduler:
        """Return the scheduler of a pool, creating it if needed."""
        return self._schedulers.setdefault(pool, PieceScheduler())

    def get_pools(self) -> tuple[str, ...]:
        """Return the pools that have a scheduler here."""
        return tuple(self._schedulers)

    def find_profile(self, pool: str) -> PieceProfile | None:
        """Return the piece profile of a pool; None if it serves no stages."""
        table = self._context.route_table
        pool_config = None if table is None else table.pools.get(pool)
        return None if pool_config is None else pool_config.pieces

    def forget_instance(self, instance: str) -> None:
        """Drop the results of an instance that no longer stores any."""
        for scheduler in self._schedulers.values():
            scheduler.result_space.forget_instance(instance)

    def release(self, pool: str, handle: str) -> str:
        """
        Drop a result and return its producer, or '' if that has terminated.

        The producer of a result that another scheduler requested is found by
        the address in the result's handle.
        """
        producer = self.get(pool).result_space.release(
            handle, get_monotonic_ms()
        )
        if producer:
            return producer
        instance = self._context.directory.find_by_address(
            pool, get_producer_address(handle)
        )
        return '' if instance is None else instance.instance

    def get_waits_ms(self) -> dict[str, list[float]]:
        """Return expected waits (ms) of a new piece by pool and priority."""
        now_ms = get_monotonic_ms()
        local = self.announced.get_counts()
        waits_ms = {}
        for pool, scheduler in self._schedulers.items():
            profile = self.find_profile(pool)
            if profile is None:
                continue
            announced = self.peer_announcements.sum_counts(pool, now_ms)
            for priority, pieces in enumerate(local.get(pool, ())):
                announced[priority] += pieces
            waits_ms[pool] = scheduler.estimate_waits_ms(
                profile,
                len(self._context.directory.get_pool(pool)),
                announced,
                now_ms,
            )
        return waits_ms

    def estimate_stage_ms(self, pool: str, pieces: Sequence[Piece]) -> float:
        """Estimate how long the pieces of a stage take from their arrival."""
        profile = self.find_profile(pool)
        if profile is None:
            return 0
        wait_ms = self.get(pool).estimate_wait_ms(
            profile,
            len(self._context.directory.get_pool(pool)),
            pieces[0],
            get_monotonic_ms(),
        )
        return wait_ms + profile.estimate_ms(
            min(len(pieces), profile.batch_limit)
        )

    def list_short_of_space(self) -> tuple[str, ...]:
        """Return the pools whose throughput is limited by space."""
        now_ms = get_monotonic_ms()
        return tuple(
            pool
            for pool, scheduler in self._schedulers.items()
            if scheduler.is_short_of_space(now_ms)
        )

    def refuse(
        self,
        pool: str,
        pieces: Sequence[Piece],
    ) -> tuple[PieceResult, ...] | None:
        """
        Refuse pieces that cannot start in time.

        Parameters
        ----------
        pool : str
            Pool that would process the pieces.
        pieces : sequence of Piece
            Pieces of one stage.  They are always admitted if the stage has
            inputs, since work was already done for them.

        Returns
        -------
        tuple of PieceResult or None
            The refusal of each piece; None if the pieces are admitted.
        """
        first = pieces[0]
        profile = self.find_profile(pool)
        if first.inputs or profile is None:
            return None
        now_ms = get_monotonic_ms()
        wait_ms = self.get(pool).estimate_wait_ms(
            profile,
            len(self._context.directory.get_pool(pool)),
            first,
            now_ms,
        )
        latest_ms = first.due_ms + global_settings.ADMISSION_GRACE_MS
        if first.due_ms < now_ms:
            # Admitted in order to be served late.
            latest_ms = first.give_up_ms
        late_ms = now_ms + wait_ms - latest_ms
        if late_ms <= 0:
            return None
        self._context.metrics.count_event('pieces_refused')
        log_event(
            'pieces_refused',
            step=_STEP,
            pool=pool,
            request_id=first.request_id,
            pieces=len(pieces),
            wait_ms=_round(wait_ms),
            late_ms=_round(late_ms),
        )
        refusal = PieceResult(outcome=PieceOutcome.refused, wait_ms=wait_ms)
        return (refusal,) * len(pieces)


def _round(wait_ms: float) -> int | None:
    """Round a wait for the log; return None if it is infinite."""
    return round(wait_ms) if math.isfinite(wait_ms) else None
