"""Keep the usage of each organisation."""

from ragworthollow.admission.usage import NO_USAGE, Usage, charge, fade


class UsageBook:
    """Remember what each organisation runs now and used of late."""

    def __init__(self) -> None:
        self._usage: dict[str, Usage] = {}
        self._running: dict[str, int] = {}
        self.total_running = 0

    def get_running(self, organisation: str) -> int:
        """Return the slots that an organisation holds."""
        return self._running.get(organisation, 0)

    def get_active(self) -> set[str]:
        """Return the organisations that hold slots."""
        return set(self._running)

    def get_used_ms(self, organisation: str, now_ms: float) -> float:
        """Return the faded slot-milliseconds of an organisation."""
        return fade(self._usage.get(organisation, NO_USAGE), now_ms)

    def start(self, organisation: str, cost_ms: float, now_ms: float) -> None:
        """Charge a call that starts with what it is likely to take."""
        self._running[organisation] = self.get_running(organisation) + 1
        self.total_running += 1
        self._charge(organisation, cost_ms, now_ms)

    def finish(
        self,
        organisation: str,
        correction_ms: float,
        now_ms: float,
    ) -> None:
        """Free a slot and correct what was charged for it."""
        left = self.get_running(organisation) - 1
        self.total_running -= 1
        if left:
            self._running[organisation] = left
        else:
            self._running.pop(organisation)
        self._charge(organisation, correction_ms, now_ms)

    def forget_idle(self, now_ms: float) -> None:
        """Drop usages that have faded, so that memory follows activity."""
        self._usage = {
            organisation: usage
            for organisation, usage in self._usage.items()
            if fade(usage, now_ms) > 1
        }

    def _charge(self, organisation: str, cost_ms: float, now_ms: float) -> None:
        usage = self._usage.get(organisation, NO_USAGE)
        self._usage[organisation] = charge(usage, cost_ms, now_ms)
