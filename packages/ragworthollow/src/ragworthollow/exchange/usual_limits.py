"""Tell callers that come back from those that come for the first time."""

import statistics
from collections import deque

from ragworthollow.conf import global_settings


class UsualLimits:
    """
    Know the time limit with which the callers of each route come first.

    A caller that was refused and comes back says how long it will still
    wait, which is less than before by what has passed.  Most requests are
    first ones, so that the median of the recent limits is theirs.  Some
    callers are less patient than most by habit: a limit that comes again and
    again is theirs, while what is left after a pause differs each time.
    """

    def __init__(self) -> None:
        self._recent: dict[str, deque[float]] = {}

    def note(self, route: str, limit_ms: float) -> float:
        """
        Take the limit of a request.

        Parameters
        ----------
        route : str
            Name of its route.
        limit_ms : float
            How long its caller will wait.

        Returns
        -------
        float
            How long the caller has waited before, in milliseconds; 0 for a
            first request.
        """
        recent = self._recent.setdefault(
            route,
            deque(maxlen=global_settings.USUAL_LIMIT_SAMPLES),
        )
        alike = sum(
            abs(one - limit_ms) <= global_settings.LIMIT_TOLERANCE_MS
            for one in recent
        )
        recent.append(limit_ms)
        if alike >= global_settings.USUAL_LIMIT_REPEATS:
            return 0
        waited_ms = statistics.median(recent) - limit_ms
        if waited_ms < global_settings.WAITED_LEAST_MS:
            return 0
        return waited_ms
