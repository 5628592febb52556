"""Count the pieces that admitted requests will need later."""

from collections.abc import Mapping, Sequence

from ragworthollow.conf import global_settings

CountsByPool = Mapping[str, Sequence[int]]


class AnnouncedWork:
    """
    Count the future pieces of admitted requests by pool and priority.

    A request reaches its later stages hundreds of milliseconds after its
    admission.  A scheduler that counts only its queue keeps admitting requests
    for that long after its instances are saturated: these spend work on their
    first stages and then all miss their latency objectives.
    """

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}

    def add(self, pool: str, priority: int, pieces: int) -> None:
        """
        Announce or withdraw pieces.

        Parameters
        ----------
        pool : str
            Pool that will process the pieces.
        priority : int
            Priority of their request, 0 first.
        pieces : int
            Number of pieces; negative when they have arrived or are not needed.
        """
        counts = self._counts.setdefault(
            pool,
            _make_counts(),
        )
        counts[min(priority, len(counts) - 1)] += pieces

    def get_counts(self) -> dict[str, list[int]]:
        """Return the pieces by pool and priority, omitting pools with none."""
        return {
            pool: list(counts)
            for pool, counts in self._counts.items()
            if any(counts)
        }


class PeerAnnouncements:
    """Hold the recent announcements of other gateways."""

    def __init__(self) -> None:
        self._counts: dict[str, CountsByPool] = {}
        self._received_ms: dict[str, float] = {}

    def record(self, source: str, counts: CountsByPool, now_ms: float) -> None:
        """Replace the announcements of one gateway."""
        self._counts[source] = counts
        self._received_ms[source] = now_ms

    def sum_counts(self, pool: str, now_ms: float) -> list[int]:
        """Return the announced pieces of a pool by priority."""
        self._remove_expired(now_ms)
        total = _make_counts()
        for counts in self._counts.values():
            for priority, pieces in enumerate(counts.get(pool, ())):
                total[min(priority, len(total) - 1)] += pieces
        return total

    def _remove_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - global_settings.ANNOUNCEMENT_MS
        for source, received_ms in tuple(self._received_ms.items()):
            if received_ms < oldest_ms:
                self._received_ms.pop(source)
                self._counts.pop(source)


def _make_counts() -> list[int]:
    return [0 for _ in range(global_settings.PRIORITIES)]
