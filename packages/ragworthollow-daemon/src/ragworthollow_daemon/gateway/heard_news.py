"""Define what another gateway said of the store."""

from dataclasses import dataclass

from ragworthollow.replica import StoreNews


@dataclass(frozen=True, kw_only=True, slots=True)
class HeardNews:
    """
    Hold news and when it was asked for.

    Attributes
    ----------
    news : StoreNews
        What was said.
    asked_ms : float
        When it was asked for, on the clock that counts suspended time.
    """

    news: StoreNews
    asked_ms: float
