"""Hold what the hosts of schedulers last reported of them."""

import math
from collections.abc import Mapping

from ragworthollow.transport.host_messages import HostState

WaitsByPool = Mapping[str, list[float]]


class HostReports:
    """Hold the waits and the shortages of pools, by host."""

    def __init__(self) -> None:
        self._waits_ms: dict[str, WaitsByPool] = {}
        self._short_of_space: dict[str, frozenset[str]] = {}

    def record(self, state: HostState) -> None:
        """Replace the report of a host."""
        self._short_of_space[state.instance] = frozenset(state.short_of_space)
        self._waits_ms[state.instance] = {
            pool: [
                math.inf if wait_ms is None else wait_ms for wait_ms in waits_ms
            ]
            for pool, waits_ms in state.waits_ms.items()
        }

    def get_waits_ms(self, pool: str, host: str) -> list[float]:
        """Return the last reported waits of a host in ms, by priority."""
        return self._waits_ms.get(host, {}).get(pool, [])

    def is_short_of_space(self, pool: str, host: str) -> bool:
        """Return whether a host last reported that a pool lacks space."""
        return pool in self._short_of_space.get(host, ())
