"""Track the rate limits that instances advertise in their responses."""

from ragworthollow.conf import global_settings
from ragworthollow.throttling.advertised_limit import AdvertisedLimit


class AdvertisedLimits:
    """
    Track the rate limit of each incarnation of an instance.

    A limit applies until a fresher response advertises another limit or none.
    It expires if no gateway has received a response for a long time, perhaps
    because the gateways that may send have no callers.
    """

    def __init__(self) -> None:
        self._known: dict[str, AdvertisedLimit] = {}
        # When the limit last changed, by incarnation, latest change last.
        self._changed_ms: dict[str, float] = {}
        self._last_sent_ms = float('-inf')
        self._next_index = 0

    def record(self, incarnation: str, limit: AdvertisedLimit) -> bool:
        """
        Record what a response advertises.

        Parameters
        ----------
        incarnation : str
            Incarnation of the instance.
        limit : AdvertisedLimit
            Limit that the response advertises, or its absence.

        Returns
        -------
        bool
            Whether a different limit applies from now on.
        """
        known = self._known.get(incarnation)
        if known is None:
            return limit.is_limit() and self._store(incarnation, limit)
        merged = known.merge(limit)
        if merged is known:
            return False
        self._store(incarnation, merged)
        return merged.requests_per_s != known.requests_per_s

    def record_received(self, incarnation: str, limit: AdvertisedLimit) -> bool:
        """
        Record a limit received from another gateway.

        A limit that this gateway has sent itself comes back placed in a longer
        interval.  It adds nothing, and would keep fresher responses from
        ending the limit.

        Returns
        -------
        bool
            Whether a different limit applies from now on.
        """
        known = self._known.get(incarnation)
        is_echo = (
            known is not None
            and known.requests_per_s == limit.requests_per_s
            and known.sent_ms >= limit.sent_ms
        )
        return not is_echo and self.record(incarnation, limit)

    def may_have_any(self, now_ms: float) -> bool:
        """Return whether any instance may have a limit now."""
        return bool(_get_remaining_ms(self._last_sent_ms, now_ms))

    def find(self, incarnation: str, now_ms: float) -> AdvertisedLimit | None:
        """Return the limit of an instance, or None if it has none."""
        known = self._known.get(incarnation)
        if known is None or not known.is_limit():
            return None
        return known if _get_remaining_ms(known.sent_ms, now_ms) else None

    def get_remaining_ms(self, limit: AdvertisedLimit, now_ms: float) -> float:
        """Return how long a limit applies unless it is advertised again."""
        return _get_remaining_ms(limit.sent_ms, now_ms)

    def choose_to_send(self, now_ms: float) -> dict[str, AdvertisedLimit]:
        """
        Choose the limits to send to another gateway now.

        Limits that have just changed come first.  All others follow in
        round-robin order, so that limits which are advertised repeatedly do
        not expire at other gateways and the size of a message is bounded.

        Returns
        -------
        dict of str to AdvertisedLimit
            Latest limits of the chosen instances, by incarnation, including
            limits that ended.
        """
        max_limits = global_settings.MAX_LIMITS_PER_MESSAGE
        recent = [
            incarnation
            for incarnation, changed_ms in self._changed_ms.items()
            if now_ms - changed_ms < global_settings.CHANGED_LIMIT_PRIORITY_MS
        ]
        chosen = recent[-max_limits:]
        others = self._get_next_in_turn(max_limits - len(chosen))
        selected = {
            incarnation: self._known[incarnation]
            for incarnation in (*chosen, *others)
            if incarnation in self._known
        }
        return {
            incarnation: limit
            for incarnation, limit in selected.items()
            if _get_remaining_ms(limit.sent_ms, now_ms)
        }

    def _store(self, incarnation: str, limit: AdvertisedLimit) -> bool:
        known = self._known.get(incarnation)
        _store(self._known, incarnation, limit)
        if limit.is_limit():
            self._last_sent_ms = max(self._last_sent_ms, limit.sent_ms)
        if known is None or known.requests_per_s != limit.requests_per_s:
            _store(self._changed_ms, incarnation, limit.received_ms)
        return True

    def _get_next_in_turn(self, count: int) -> list[str]:
        """Return the next incarnations in round-robin order."""
        if not self._known:
            return []
        incarnations = sorted(self._known)
        first = self._next_index % len(incarnations)
        self._next_index = first + count
        return (incarnations + incarnations)[
            first : first + min(count, len(incarnations))
        ]


def _store(
    stored: dict[str, AdvertisedLimit] | dict[str, float],
    incarnation: str,
    newest: AdvertisedLimit | float,
) -> None:
    """Store a value as the latest, and drop the oldest beyond a limit."""
    stored.pop(incarnation, None)
    stored[incarnation] = newest
    while len(stored) > global_settings.MAX_ADVERTISED_LIMITS:
        stored.pop(next(iter(stored)))


def _get_remaining_ms(sent_ms: float, now_ms: float) -> float:
    expires_ms = sent_ms + global_settings.ADVERTISED_LIMIT_TTL_MS
    return max(0, expires_ms - now_ms)
