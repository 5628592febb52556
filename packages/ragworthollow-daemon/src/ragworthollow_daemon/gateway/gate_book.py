"""Keep the gates that are hosted by this process."""

import math
from collections.abc import Sequence

from ragworthollow.conf import global_settings
from ragworthollow.logs.events import log_event
from ragworthollow.pieces import (
    AnnouncedWork,
    PeerAnnouncements,
    Piece,
    PieceGate,
    PieceOutcome,
    PieceResult,
)
from ragworthollow.platform.stage_wire import get_maker_address
from ragworthollow.routes import PieceProfile
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext

_STEP = 'pieces'


class GateBook:
    """
    Hold one gate for each pool whose pieces came here.

    Parameters
    ----------
    context : GatewayContext
        Of this process.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._gates: dict[str, PieceGate] = {}
        self.announced = AnnouncedWork()
        self.peer_announcements = PeerAnnouncements()

    def get(self, pool: str) -> PieceGate:
        """Return the gate of a pool, a new one if need be."""
        return self._gates.setdefault(pool, PieceGate())

    def get_pools(self) -> tuple[str, ...]:
        """Return the pools that have a gate here."""
        return tuple(self._gates)

    def find_profile(self, pool: str) -> PieceProfile | None:
        """Return how a pool works; None when it serves no stages."""
        table = self._context.table
        described = None if table is None else table.pools.get(pool)
        return None if described is None else described.pieces

    def forget_instance(self, instance: str) -> None:
        """Forget the results of an instance that holds none any more."""
        for gate in self._gates.values():
            gate.room.forget_instance(instance)

    def free(self, pool: str, handle: str) -> str:
        """
        Forget a result; return its maker, empty when that one is gone.

        The maker of a result that another gate had made is found by the
        address in its handle.
        """
        maker = self.get(pool).room.free(handle, get_monotonic_ms())
        if maker:
            return maker
        found = self._context.directory.find_at(pool, get_maker_address(handle))
        return '' if found is None else found.instance

    def get_waits_ms(self) -> dict[str, list[float]]:
        """Return the expected waits of a new piece, by pool and priority."""
        now_ms = get_monotonic_ms()
        own = self.announced.get_counts()
        waits_ms = {}
        for pool, gate in self._gates.items():
            profile = self.find_profile(pool)
            if profile is None:
                continue
            announced = self.peer_announcements.sum_counts(pool, now_ms)
            for priority, pieces in enumerate(own.get(pool, ())):
                announced[priority] += pieces
            waits_ms[pool] = gate.estimate_waits_ms(
                profile,
                len(self._context.directory.get_pool(pool)),
                announced,
                now_ms,
            )
        return waits_ms

    def refuse(
        self,
        pool: str,
        pieces: Sequence[Piece],
    ) -> tuple[PieceResult, ...] | None:
        """
        Refuse at once what cannot start in time.

        Parameters
        ----------
        pool : str
            Pool that would do them.
        pieces : sequence of Piece
            Of one stage; one with inputs is let in, since work was spent.

        Returns
        -------
        tuple of PieceResult or None
            None lets them in.
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
            # Let in to be served late.
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
    """Round for the log; None for a wait without an end."""
    return round(wait_ms) if math.isfinite(wait_ms) else None
