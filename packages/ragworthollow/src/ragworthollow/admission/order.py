"""Choose which organisation gets the next free slot."""

from collections.abc import Iterable
from dataclasses import dataclass

from ragworthollow.admission.capacity_share import CapacityShare
from ragworthollow.admission.usage import DECAY_TIME_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class Contender:
    """
    Describe one organisation with waiting calls.

    Attributes
    ----------
    organisation : str
        Name of the organisation.
    share : CapacityShare
        Capacity that it may use.
    running : int
        Number of slots it holds now.
    used_ms : float
        Slot-milliseconds that it used recently, exponentially decayed.
    """

    organisation: str
    share: CapacityShare
    running: int
    used_ms: float


def is_within_guarantee(contender: Contender, capacity: int) -> bool:
    """Return whether recent usage is below the organisation's guarantee."""
    return (
        contender.used_ms < contender.share.guarantee * capacity * DECAY_TIME_MS
    )


def is_at_ceiling(contender: Contender, capacity: int) -> bool:
    """
    Return whether one more slot would exceed the organisation's ceiling.

    Every organisation may hold at least one slot.
    """
    allowed = max(1, int(contender.share.ceiling * capacity))
    return contender.running >= allowed


def choose_next(
    contenders: Iterable[Contender],
    capacity: int,
) -> Contender | None:
    """
    Choose the organisation whose call runs next.

    Organisations within their guarantee come first, starting with the
    organisation furthest below it.  The capacity they leave idle is
    redistributed by weight.  An organisation with a guarantee gets it back as
    soon as it has calls waiting, since a slot given to others is freed at the
    end of a single call.

    Parameters
    ----------
    contenders : iterable of Contender
        Organisations with waiting calls.
    capacity : int
        Number of slots of the upstream.

    Returns
    -------
    Contender or None
        None if all of them are at their ceilings.
    """
    eligible = [
        each for each in contenders if not is_at_ceiling(each, capacity)
    ]
    return min(
        eligible,
        key=lambda contender: _get_priority(contender, capacity),
        default=None,
    )


def _get_priority(
    contender: Contender,
    capacity: int,
) -> tuple[int, float, str]:
    if is_within_guarantee(contender, capacity):
        return (
            0,
            contender.used_ms / contender.share.guarantee,
            contender.organisation,
        )
    return (
        1,
        contender.used_ms / contender.share.weight,
        contender.organisation,
    )
