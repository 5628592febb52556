"""Track the usage of each organisation."""

from ragworthollow.admission.usage import NO_USAGE, DecayedUsage, charge, decay


class UsageTracker:
    """Track the slots and the recent usage of each organisation."""

    def __init__(self) -> None:
        self._usage: dict[str, DecayedUsage] = {}
        self._running: dict[str, int] = {}
        self.total_running = 0

    def get_running(self, organisation: str) -> int:
        """Return the number of slots that an organisation holds."""
        return self._running.get(organisation, 0)

    def get_active(self) -> set[str]:
        """Return the organisations that hold slots."""
        return set(self._running)

    def get_used_ms(self, organisation: str, now_ms: float) -> float:
        """Return the decayed usage of an organisation, in slot-milliseconds."""
        return decay(self._usage.get(organisation, NO_USAGE), now_ms)

    def start(self, organisation: str, cost_ms: float, now_ms: float) -> None:
        """Record the start of a call and charge its estimated slot time."""
        self._running[organisation] = self.get_running(organisation) + 1
        self.total_running += 1
        self._charge(organisation, cost_ms, now_ms)

    def release(
        self,
        organisation: str,
        correction_ms: float,
        now_ms: float,
    ) -> None:
        """Release a slot and correct the usage charged for it."""
        left = self.get_running(organisation) - 1
        self.total_running -= 1
        if left:
            self._running[organisation] = left
        else:
            self._running.pop(organisation)
        self._charge(organisation, correction_ms, now_ms)

    def forget_idle(self, now_ms: float) -> None:
        """
        Discard usages that have decayed to almost nothing.

        This bounds the memory by the number of recently active organisations.
        """
        self._usage = {
            organisation: usage
            for organisation, usage in self._usage.items()
            if decay(usage, now_ms) > 1
        }

    def _charge(self, organisation: str, cost_ms: float, now_ms: float) -> None:
        usage = self._usage.get(organisation, NO_USAGE)
        self._usage[organisation] = charge(usage, cost_ms, now_ms)
