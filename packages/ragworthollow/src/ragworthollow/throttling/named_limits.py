"""Keep which limits instances have named in their answers."""

from collections.abc import Mapping

from ragworthollow.conf import global_settings
from ragworthollow.throttling.named_limit import NamedLimit


class NamedLimits:
    """
    Know the limit of each start of an instance.

    It holds until a younger answer names another one or none.  Where nobody
    has had an answer for a long time, perhaps since those who may send have
    no callers, it ends.
    """

    def __init__(self) -> None:
        self._known: dict[str, NamedLimit] = {}
        self._last_heard_ms = float('-inf')

    def note(self, incarnation: str, named: NamedLimit) -> bool:
        """
        Take what an answer says.

        Parameters
        ----------
        incarnation : str
            Start of the instance.
        named : NamedLimit
            What it says.

        Returns
        -------
        bool
            Whether another limit holds from now on.
        """
        known = self._known.get(incarnation)
        if known is None and not named.is_limit():
            return False
        if known is not None and not named.replaces(known):
            return False
        self._known.pop(incarnation, None)
        self._known[incarnation] = named
        while len(self._known) > global_settings.NAMED_LIMITS_KEPT:
            self._known.pop(next(iter(self._known)))
        if named.is_limit():
            self._last_heard_ms = max(self._last_heard_ms, named.heard_ms)
        return known is None or named.requests_per_s != known.requests_per_s

    def may_have_any(self, now_ms: float) -> bool:
        """Tell whether any instance may have a limit now."""
        return _is_fresh(self._last_heard_ms, now_ms)

    def find(self, incarnation: str, now_ms: float) -> NamedLimit | None:
        """Return the limit of an instance; None where it has none."""
        known = self._known.get(incarnation)
        if known is None or not known.is_limit():
            return None
        return known if _is_fresh(known.heard_ms, now_ms) else None

    def get_known(self) -> Mapping[str, NamedLimit]:
        """Return what instances have said last, limits that ended included."""
        return self._known


def _is_fresh(heard_ms: float, now_ms: float) -> bool:
    return now_ms - heard_ms < global_settings.NAMED_LIMIT_BELIEVED_MS
