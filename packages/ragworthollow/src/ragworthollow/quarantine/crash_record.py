"""Hold the crash evidence against one request or prompt part."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

NEVER_MS = float('-inf')


@dataclass(kw_only=True, slots=True)
class CrashRecord:
    """
    Record the crashes in which a request, or one with a part, was running.

    A crash ends all requests that run on the instance, so most requests in a
    crash are harmless.  A success clears the request and its prompt parts of
    all earlier crashes.  Records are merged by set union, so that gateways
    agree regardless of the order in which they receive evidence.

    Attributes
    ----------
    crashes : dict of str to float
        Time at which each incarnation of an instance ended, by incarnation.
    cleared : set of str
        Incarnations whose crashes no longer count.
    run_ms : dict of str to float
        Shortest time for which a request with a part had been running there,
        by incarnation.
    companions : frozenset of str or None
        Prompt parts of the request, or those that each request with this part
        had as well when it was in a crash; None if unknown.
    attempts : int
        Largest number of attempts with a part that had ended at any gateway
        when it reported a crash.
    has_succeeded : bool
        Whether it is known to have succeeded at any time.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    run_ms: dict[str, float] = field(default_factory=dict)
    companions: frozenset[str] | None = None
    attempts: int = 0
    has_succeeded: bool = False

    def add(
        self,
        crashes: Mapping[str, float],
        cleared: Iterable[str],
        *,
        run_ms: Mapping[str, float] | None = None,
        companions: Iterable[str] | None = None,
        attempts: int = 0,
        has_succeeded: bool = False,
    ) -> bool:
        """Add evidence, and return whether any of it is new."""
        has_new_crash = not crashes.keys() <= self.crashes.keys()
        # Shares the crashes: each way of a report dates a crash differently.
        previous = replace(
            self, cleared=set(self.cleared), run_ms=dict(self.run_ms)
        )
        _merge_least(self.crashes, crashes)
        _merge_least(self.run_ms, run_ms or {})
        self.cleared.update(cleared)
        if companions is not None:
            self.companions = frozenset(
                companions
                if self.companions is None
                else self.companions.intersection(companions)
            )
        self.attempts = max(self.attempts, attempts)
        self.has_succeeded |= has_succeeded or bool(self.cleared)
        return has_new_crash or previous != self

    def forget_before(self, oldest_ms: float) -> None:
        """Discard crashes that occurred before a time."""
        self.crashes = {
            incarnation: crashed_ms
            for incarnation, crashed_ms in self.crashes.items()
            if crashed_ms >= oldest_ms
        }
        self.cleared &= self.crashes.keys()
        for incarnation in self.run_ms.keys() - self.crashes.keys():
            self.run_ms.pop(incarnation)

    def get_uncleared(self) -> dict[str, float]:
        """Return the crashes that count, with their times."""
        return {
            incarnation: crashed_ms
            for incarnation, crashed_ms in self.crashes.items()
            if incarnation not in self.cleared
        }

    def get_newest_ms(self) -> float:
        """Return the time of the latest crash."""
        return max(self.crashes.values(), default=NEVER_MS)


def _merge_least(known: dict[str, float], added: Mapping[str, float]) -> None:
    for name, amount in added.items():
        known[name] = min(known.get(name, amount), amount)
