"""Define an update of the store as received from a peer gateway."""

from dataclasses import dataclass

from ragworthollow.replica import StoreNews


@dataclass(frozen=True, kw_only=True, slots=True)
class HeardNews:
    """
    Hold an update and the time at which it was requested.

    Attributes
    ----------
    news : StoreNews
        The update.
    asked_ms : float
        When it was requested, on CLOCK_BOOTTIME.
    """

    news: StoreNews
    asked_ms: float
