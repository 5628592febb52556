"""Define an update of the store as received from a peer gateway."""

from dataclasses import dataclass

from ragworthollow.replica import StoreUpdate


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedUpdate:
    """
    Hold an update and the time at which it was requested.

    Attributes
    ----------
    update : StoreUpdate
        The update.
    sent_ms : float
        When it was requested, on CLOCK_BOOTTIME.
    """

    update: StoreUpdate
    sent_ms: float
