"""Order queued pieces and decide which of them wait or are given up."""

from collections.abc import Sequence

from ragworthollow.conf import global_settings
from ragworthollow.pieces.piece import Piece
from ragworthollow.pieces.waiting_piece import WaitingPiece
from ragworthollow.upstreams import UpstreamInstance


def should_give_up(waiting: WaitingPiece, now_ms: float) -> bool:
    """
    Return whether a queued piece is given up.

    A request on which no work was spent is given up soon after it can no
    longer meet its objective: it would take capacity from requests that still
    can, and its caller can retry.  A request on which work was spent stays
    queued until its caller no longer waits for it.
    """
    piece = waiting.piece
    if piece.expires_ms <= now_ms:
        return True
    if piece.inputs or waiting.stage_run.is_started:
        return False
    return piece.give_up_ms < now_ms


def get_queue_key(
    waiting: WaitingPiece,
    now_ms: float,
) -> tuple[bool, bool, float]:
    """
    Return the sort key of a queued piece; the smallest is taken first.

    The remaining pieces of a started stage come first: the results of its
    finished pieces occupy space until the last piece is done, and space that
    is held by incomplete stages stalls the pool while its instances are idle.
    """
    return (
        not waiting.stage_run.is_started,
        *get_piece_key(waiting.piece, now_ms),
    )


def get_piece_key(piece: Piece, now_ms: float) -> tuple[bool, float]:
    """Return the sort key of a piece whose stage has not started."""
    return (is_late(piece, now_ms), get_weighted_due_ms(piece))


def get_weighted_due_ms(piece: Piece) -> float:
    """Return the latest start, shifted later for less urgent pieces."""
    return piece.due_ms + piece.priority * global_settings.PRIORITY_STEP_MS


def is_late(piece: Piece, now_ms: float) -> bool:
    """Return whether a piece can no longer meet its objective."""
    return piece.due_ms + global_settings.PIECE_LATE_GRACE_MS < now_ms


def should_wait_for_domain(
    waiting: WaitingPiece,
    instance: UpstreamInstance,
    waits_ms: dict[str, float],
    now_ms: float,
) -> bool:
    """
    Return whether a piece waits for an instance in its preferred domain.

    Reading a result in another failure domain costs traffic between domains.
    A piece waits for an instance in its preferred domain that is expected to
    be free within a share of the piece's slack, and no longer than a moment
    if its inputs take space that another pool is short of.
    """
    domain = waiting.piece.failure_domain
    wait_ms = waits_ms.get(domain)
    if wait_ms is None or domain == instance.failure_domain:
        return False
    slack_ms = waiting.piece.due_ms - now_ms
    longest_ms = slack_ms * global_settings.LOCALITY_WAIT_SHARE
    if waiting.piece.inputs_pool:
        longest_ms = min(longest_ms, global_settings.LOCALITY_SHORT_WAIT_MS)
    return wait_ms < longest_ms


def can_wait_for_domain(
    waiting: WaitingPiece,
    instance: UpstreamInstance,
    waits_ms: dict[str, float],
    now_ms: float,
) -> bool:
    """
    Return whether a piece can be in time in its preferred domain.

    This uses the shortest wait in that domain.  A piece that would be late is
    ordered by its latest start like any other.
    """
    domain = waiting.piece.failure_domain
    wait_ms = waits_ms.get(domain)
    if wait_ms is None or domain == instance.failure_domain:
        return False
    return now_ms + wait_ms < waiting.piece.due_ms


def choose_idle_instance(
    idle: Sequence[UpstreamInstance],
    first: WaitingPiece,
) -> UpstreamInstance:
    """Return an idle instance, in the preferred domain if possible."""
    for candidate in idle:
        is_local = candidate.failure_domain == first.piece.failure_domain
        if is_local and candidate.instance not in first.avoid:
            return candidate
    for candidate in idle:
        if candidate.instance not in first.avoid:
            return candidate
    return idle[0]
