"""Define the messages in which gateways exchange rate limits."""

from ragworthollow.throttling.advertised_limit import (
    UNLIMITED_PER_S,
    AdvertisedLimit,
)
from ragworthollow.utils.message import Message


class LimitUpdate(Message):
    """
    Report the rate limit that an instance has advertised.

    Attributes
    ----------
    asked_age_ms, heard_age_ms : float
        Time since the request was sent and since its response arrived.
    requests_per_s : float or None
        Requests per second that it accepts; None if it no longer advertises a
        limit.
    """

    asked_age_ms: float
    heard_age_ms: float
    requests_per_s: float | None = None


def make_limit_update(limit: AdvertisedLimit, now_ms: float) -> LimitUpdate:
    """Build the update for the limit that a response advertised."""
    return LimitUpdate(
        requests_per_s=limit.requests_per_s if limit.is_limit() else None,
        asked_age_ms=now_ms - limit.sent_ms,
        heard_age_ms=now_ms - limit.received_ms,
    )


def read_limit_update(
    update: LimitUpdate,
    *,
    sent_after_ms: float,
    now_ms: float,
) -> AdvertisedLimit:
    """
    Read an update that was sent within a known span of time.

    Clocks of different machines are not compared.  The ages count from an
    unknown moment in the span.  The response is therefore placed in a longer
    interval than it took, and is certainly fresher than another response less
    often.

    Parameters
    ----------
    update : LimitUpdate
        Update that was received.
    sent_after_ms, now_ms : float
        Earliest and latest time at which it was sent, on CLOCK_BOOTTIME,
        which includes time in suspend.
    """
    limit_per_s = update.requests_per_s
    return AdvertisedLimit(
        requests_per_s=UNLIMITED_PER_S if limit_per_s is None else limit_per_s,
        sent_ms=sent_after_ms - update.asked_age_ms,
        received_ms=now_ms - update.heard_age_ms,
    )
