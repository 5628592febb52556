"""Choose which organisation gets the next free slot."""

from collections.abc import Iterable
from dataclasses import dataclass

from ragworthollow.admission.share import Share
from ragworthollow.admission.usage import WINDOW_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """
    Describe one organisation with waiting calls.

    Attributes
    ----------
    organisation : str
        Name of the organisation.
    share : Share
        Capacity that it may use.
    running : int
        Number of slots it holds now.
    used_ms : float
        Slot-milliseconds that it used recently, exponentially decayed.
    """

    organisation: str
    share: Share
    running: int
    used_ms: float


def is_within_guarantee(claim: Claim, capacity: int) -> bool:
    """Return whether recent usage is below the organisation's guarantee."""
    return claim.used_ms < claim.share.guarantee * capacity * WINDOW_MS


def is_at_ceiling(claim: Claim, capacity: int) -> bool:
    """
    Return whether one more slot would exceed the organisation's ceiling.

    Every organisation may hold at least one slot.
    """
    allowed = max(1, int(claim.share.ceiling * capacity))
    return claim.running >= allowed


def pick(claims: Iterable[Claim], capacity: int) -> Claim | None:
    """
    Choose the organisation whose call runs next.

    Organisations within their guarantee come first, starting with the one
    furthest below it.  The capacity they leave idle is distributed by weight.
    An organisation with a guarantee gets it back as soon as it has calls
    waiting, since a slot given to another one is freed at the end of a single
    call.

    Parameters
    ----------
    claims : iterable of Claim
        Organisations with waiting calls.
    capacity : int
        Number of slots of the upstream.

    Returns
    -------
    Claim or None
        None if all of them are at their ceilings.
    """
    eligible = [each for each in claims if not is_at_ceiling(each, capacity)]
    return min(
        eligible,
        key=lambda claim: _get_priority(claim, capacity),
        default=None,
    )


def _get_priority(claim: Claim, capacity: int) -> tuple[int, float, str]:
    if is_within_guarantee(claim, capacity):
        return (0, claim.used_ms / claim.share.guarantee, claim.organisation)
    return (1, claim.used_ms / claim.share.weight, claim.organisation)
