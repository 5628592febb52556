"""Order organisations for the next free slot."""

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
        Its name.
    share : Share
        What it may use.
    running : int
        Slots it holds now.
    used_ms : float
        Slot-milliseconds it used within the window.
    """

    organisation: str
    share: Share
    running: int
    used_ms: float


def is_within_guarantee(claim: Claim, capacity: int) -> bool:
    """Tell whether an organisation used less than its guarantee of late."""
    return claim.used_ms < claim.share.guarantee * capacity * WINDOW_MS


def is_at_ceiling(claim: Claim, capacity: int) -> bool:
    """Tell whether one more slot would exceed the ceiling, at least one."""
    allowed = max(1, int(claim.share.ceiling * capacity))
    return claim.running >= allowed


def pick(claims: Iterable[Claim], capacity: int) -> Claim | None:
    """
    Choose the organisation whose call runs next.

    Those within their guarantee come first, the one furthest below it ahead.
    What they leave idle is lent by weight, and is taken back as soon as a
    guaranteed organisation asks, since no lent slot is kept beyond the call
    that it runs.

    Parameters
    ----------
    claims : iterable of Claim
        Organisations with waiting calls.
    capacity : int
        Slots of the upstream.

    Returns
    -------
    Claim or None
        None when each of them is at its ceiling.
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
