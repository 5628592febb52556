"""Define the policies by which gateways throttle requests to instances."""

import math
from collections.abc import Callable, Collection
from typing import Protocol

from ragworthollow.conf import global_settings
from ragworthollow.throttling import (
    Pacer,
    RateLimits,
    SenderQuota,
    Senders,
    Throttle,
    derive_quota,
)

SETTLE_MS = 3_000
_WARM_UP_END_MS = 1e9
_MILLISECONDS = 1000


class Policy(Protocol):
    """Decide when one gateway may send to throttled instances."""

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """Set the gateways that are known."""

    def may_send(self, instance: str, now_ms: float) -> bool:
        """Return whether a request may be sent to a throttled instance."""

    def record_sent(self, instance: str, now_ms: float) -> None:
        """Record a request that was sent to a throttled instance."""


MakePolicy = Callable[[str, RateLimits], Policy]


class Unlimited:
    """Treat throttled instances like all others."""

    def __init__(self, _gateway: str, _limits: RateLimits) -> None:
        """Ignore the limits."""

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """Ignore the members."""

    def may_send(self, _instance: str, _now_ms: float) -> bool:
        """Allow every request."""
        return True

    def record_sent(self, instance: str, now_ms: float) -> None:
        """Ignore the request."""


class NeverSend(Unlimited):
    """Never send to throttled instances."""

    def may_send(self, _instance: str, _now_ms: float) -> bool:
        """Refuse every request."""
        return False


class EqualShare:
    """Give every gateway an equal share of the rate."""

    def __init__(self, _gateway: str, limits: RateLimits) -> None:
        self._total = min(limits.requests_per_s, limits.burst / 2)
        self._pacer = Pacer()
        self._quota = self._make_quota(1)

    def set_members(self, members: Collection[str], _now_ms: float) -> None:
        """Divide the rate among all known gateways."""
        self._quota = self._make_quota(max(1, len(members)))

    def may_send(self, instance: str, now_ms: float) -> bool:
        """Return whether the share allows another request."""
        return not self._pacer.get_wait_ms(instance, self._quota, now_ms)

    def record_sent(self, instance: str, now_ms: float) -> None:
        """Count a request against the limit."""
        self._pacer.record(instance, (self._quota,), now_ms)

    def _make_quota(self, gateways: int) -> SenderQuota:
        requests = max(1, math.floor(self._total / gateways))
        return SenderQuota(
            senders=gateways,
            requests=requests,
            window_ms=(_MILLISECONDS + global_settings.REQUEST_TRANSIT_MS)
            * max(1, gateways / self._total),
            requests_at_once=requests,
        )


class Ranked:
    """Let the highest-ranked gateways send, as the production code does."""

    propagation_ms: float = SETTLE_MS

    def __init__(self, gateway: str, limits: RateLimits) -> None:
        self._limits = limits
        self._throttle = Throttle(
            gateway=gateway, propagation_ms=self.propagation_ms
        )

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """Choose senders among all known gateways."""
        self._throttle.senders.set_members(members, now_ms)

    def may_send(self, instance: str, now_ms: float) -> bool:
        """Return whether the quota of the chosen senders allows a request."""
        self._throttle.warm_ups.record(instance, _WARM_UP_END_MS)
        return not self._throttle.get_wait_ms(instance, self._limits, now_ms)

    def record_sent(self, instance: str, now_ms: float) -> None:
        """Count a request against the limit."""
        self._throttle.record_sent(instance, self._limits, now_ms)


class RankedWithoutDelay(Ranked):
    """Incorrect variant: send before other gateways know of this gateway."""

    propagation_ms = 0


class FixedWindow:
    """Incorrect variant: fixed windows, whose bursts meet at the edges."""

    def __init__(self, gateway: str, limits: RateLimits) -> None:
        self._senders = Senders(gateway=gateway, propagation_ms=SETTLE_MS)
        self._limits = limits
        self._sent: dict[tuple[str, int], int] = {}

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """Choose senders among all known gateways."""
        self._senders.set_members(members, now_ms)

    def may_send(self, instance: str, now_ms: float) -> bool:
        """Reset the count at the start of each second."""
        quota = derive_quota(self._limits, self._senders.count())
        sent = self._sent.get((instance, int(now_ms // 1000)), 0)
        is_chosen = self._senders.is_chosen(instance, quota.senders, now_ms)
        return is_chosen and sent < 2 * quota.requests

    def record_sent(self, instance: str, now_ms: float) -> None:
        """Count a request against the limit."""
        second = (instance, int(now_ms // 1000))
        self._sent[second] = self._sent.get(second, 0) + 1


POLICIES: dict[str, MakePolicy] = {
    'as all others': Unlimited,
    'nobody': NeverSend,
    'equal share': EqualShare,
    'ranked': Ranked,
}
WRONG_VARIANTS: dict[str, MakePolicy] = {
    'without a time to settle': RankedWithoutDelay,
    'with a bucket for each second': FixedWindow,
}
