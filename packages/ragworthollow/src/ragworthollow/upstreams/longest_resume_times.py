"""Track for how long streams that began under any configuration go on."""

from collections.abc import Mapping


class LongestResumeTimes:
    """
    Keep a longer resume time until the streams of its time have ended.

    Streams that began before a configuration has lowered the time limit of
    their route are still resumed within the previous one.
    """

    def __init__(self) -> None:
        # Time, and until when it holds, by pool.
        self._longest: dict[str, tuple[float, float]] = {}

    def update(
        self, current_ms: Mapping[str, float], now_ms: float
    ) -> Mapping[str, float]:
        """
        Return the longest times that hold now.

        Parameters
        ----------
        current_ms : mapping of str to float
            Resume times of the present configuration, by pool.
        now_ms : float
            Time on the monotonic clock.
        """
        longest = {
            known: held
            for known, held in self._longest.items()
            if held[1] > now_ms
        }
        for pool, time_ms in current_ms.items():
            if time_ms >= longest.get(pool, (0, 0))[0]:
                longest[pool] = (time_ms, now_ms + time_ms)
        self._longest = longest
        return {known: held[0] for known, held in longest.items()}
