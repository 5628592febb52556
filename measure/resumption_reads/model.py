"""Resume streams in virtual time at gateways that confirm what they infer."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from measure.fleet_model.virtual_time import run_virtually
from measure.resumption_reads.pattern import Pattern
from ragworthollow.conf import global_settings
from ragworthollow.utils import get_monotonic_ms, override_clocks
from ragworthollow_daemon.gateway.shared_read import SharedRead

_MILLISECONDS = 1000
_STORE_READS_PER_S = 2000
_STORE_RESPONSE_MS = 4
# For how long a caller goes on to ask.
_CALLER_LIMIT_MS = 8000


@dataclass(kw_only=True)
class Outcome:
    """
    Hold what became of the resumptions.

    Attributes
    ----------
    counts : Counter
        Resumptions, and how many of them were `unread` at the first attempt,
        `refused` then since no peer knew the stream, and `lost` in the end.
    waits_ms : list of float
        Wait for the read of each first attempt that succeeded.
    reads : Counter
        Reads of the store in each second.
    """

    counts: Counter[str] = field(default_factory=Counter)
    waits_ms: list[float] = field(default_factory=list)
    reads: Counter[int] = field(default_factory=Counter)

    def get_share(self, name: str) -> float:
        """Return the share of the resumptions with an outcome."""
        return self.counts[name] / max(1, self.counts['resumed'])

    def get_wait_ms(self, share: float) -> float:
        """Return a quantile of the waits in milliseconds."""
        waits_ms = sorted(self.waits_ms)
        return waits_ms[int(share * (len(waits_ms) - 1))] if waits_ms else 0


class ReadModel:
    """
    Model gateways, a store that is sound, and callers.

    Parameters
    ----------
    gateways : int
        Number of gateways.
    pattern : Pattern
        Which streams are resumed.
    reads_per_s : float
        Reads a second of all gateways together.
    seed : int
        Makes the choices repeatable.
    """

    def __init__(
        self, *, gateways: int, pattern: Pattern, reads_per_s: float, seed: int
    ) -> None:
        self._rng = random.Random(seed)  # noqa: S311
        self._pattern = pattern
        self._rate_per_s = pattern.per_gateway_per_s * gateways
        peers = min(gateways - 1, global_settings.STREAM_ORIGIN_PEERS)
        self._known_share = pattern.surviving_share * peers / (gateways - 1)
        self._interval_ms = gateways * _MILLISECONDS / reads_per_s
        self._gateways = [
            SharedRead(
                read=self._read, get_interval_ms=lambda: self._interval_ms
            )
            for _ in range(gateways)
        ]
        self._store_free_ms: float = 0
        self._outcome = Outcome()

    def play(self) -> Outcome:
        """Play the pattern from start to end."""
        return run_virtually(self._play())

    async def _play(self) -> Outcome:
        length_ms = self._pattern.length_s * _MILLISECONDS
        counted_from_ms = self._pattern.counted_from_s * _MILLISECONDS
        callers = []
        with override_clocks(asyncio.get_running_loop().get_ms):
            while get_monotonic_ms() < length_ms:
                is_counted = get_monotonic_ms() >= counted_from_ms
                callers.append(
                    asyncio.ensure_future(self._resume(is_counted=is_counted))
                )
                await asyncio.sleep(self._rng.expovariate(self._rate_per_s))
            await asyncio.gather(*callers)
            # Reads go on after those who waited for them have left.
            await asyncio.sleep(2 * self._interval_ms / _MILLISECONDS)
        return self._outcome

    async def _resume(self, *, is_counted: bool) -> None:
        """Ask until a gateway has read the store, or a peer knows."""
        began_ms = get_monotonic_ms()
        counted = Counter(('resumed',))
        is_served = await self._rng.choice(self._gateways).run(
            global_settings.RESUME_READ_LIMIT_MS
        )
        if is_served and is_counted:
            self._outcome.waits_ms.append(get_monotonic_ms() - began_ms)
        counted['unread'] = not is_served
        is_served = is_served or self._is_known()
        counted['refused'] = not is_served
        while not is_served:
            await asyncio.sleep(self._choose_pause_ms() / _MILLISECONDS)
            left_ms = began_ms + _CALLER_LIMIT_MS - get_monotonic_ms()
            if left_ms <= 0:
                break
            is_served = await self._rng.choice(self._gateways).run(
                min(left_ms, global_settings.RESUME_READ_LIMIT_MS)
            )
            is_served = is_served or self._is_known()
        counted['lost'] = not is_served
        if is_counted:
            self._outcome.counts.update(counted)

    def _is_known(self) -> bool:
        return self._rng.random() < self._known_share

    def _choose_pause_ms(self) -> float:
        jitter = self._rng.random() * global_settings.RETRY_AFTER_JITTER
        return global_settings.RESUME_READ_LIMIT_MS * (1 + jitter)

    async def _read(self) -> bool:
        now_ms = get_monotonic_ms()
        self._outcome.reads[int(now_ms / _MILLISECONDS)] += 1
        self._store_free_ms = (
            max(now_ms, self._store_free_ms)
            + _MILLISECONDS / _STORE_READS_PER_S
        )
        wait_ms = self._store_free_ms - now_ms + _STORE_RESPONSE_MS
        await asyncio.sleep(wait_ms / _MILLISECONDS)
        return True
