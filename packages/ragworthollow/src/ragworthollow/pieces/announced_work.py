"""Count the pieces that admitted requests will need later."""

from collections.abc import Mapping, Sequence

from ragworthollow.conf import global_settings

CountsByPool = Mapping[str, Sequence[int]]


class AnnouncedWork:
    """
    Hold the pieces of requests that are on their way to a gate.

    A request reaches its later stages hundreds of milliseconds after it was
    admitted.  A gate that counts only its queue lets requests in all that
    time after its instances are full: all of them spend work on their first
    stages and then miss their objectives together.
    """

    def __init__(self) -> None:
        self._counts: dict[str, list[int]] = {}

    def add(self, pool: str, priority: int, pieces: int) -> None:
        """
        Announce pieces, or withdraw them.

        Parameters
        ----------
        pool : str
            Pool that will make them.
        priority : int
            Rank of their request, 0 first.
        pieces : int
            How many; negative when they have arrived or are not needed.
        """
        counts = self._counts.setdefault(
            pool,
            _make_counts(),
        )
        counts[min(priority, len(counts) - 1)] += pieces

    def get_counts(self) -> dict[str, list[int]]:
        """Return the pieces by pool and priority, of pools with any."""
        return {
            pool: list(counts)
            for pool, counts in self._counts.items()
            if any(counts)
        }


class PeerAnnouncements:
    """Hold what other gateways announced, as long as it is fresh."""

    def __init__(self) -> None:
        self._counts: dict[str, CountsByPool] = {}
        self._noted_ms: dict[str, float] = {}

    def note(self, source: str, counts: CountsByPool, now_ms: float) -> None:
        """Take all that one gateway announces; what it said is forgotten."""
        self._counts[source] = counts
        self._noted_ms[source] = now_ms

    def sum_counts(self, pool: str, now_ms: float) -> list[int]:
        """Return the announced pieces of a pool by priority."""
        self._drop_old(now_ms)
        total = _make_counts()
        for counts in self._counts.values():
            for priority, pieces in enumerate(counts.get(pool, ())):
                total[min(priority, len(total) - 1)] += pieces
        return total

    def _drop_old(self, now_ms: float) -> None:
        oldest_ms = now_ms - global_settings.ANNOUNCEMENT_MS
        for source, noted_ms in tuple(self._noted_ms.items()):
            if noted_ms < oldest_ms:
                self._noted_ms.pop(source)
                self._counts.pop(source)


def _make_counts() -> list[int]:
    return [0 for _ in range(global_settings.PRIORITIES)]
