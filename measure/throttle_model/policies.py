"""Define the ways in which gateways hold back from instances."""

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
_FAR_MS = 1e9
_SECOND_MS = 1000


class Policy(Protocol):
    """Decide for one gateway."""

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """Take the gateways that are known."""

    def may_send(self, instance: str, now_ms: float) -> bool:
        """Tell whether a throttled instance may get a request."""

    def note_sent(self, instance: str, now_ms: float) -> None:
        """Note a request to such an instance."""


MakePolicy = Callable[[str, RateLimits], Policy]


class Unlimited:
    """Treat throttled instances like all others."""

    def __init__(self, _gateway: str, _limits: RateLimits) -> None:
        """Know nothing."""

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """Need nobody."""

    def may_send(self, _instance: str, _now_ms: float) -> bool:
        """Send always."""
        return True

    def note_sent(self, instance: str, now_ms: float) -> None:
        """Remember nothing."""


class Nobody(Unlimited):
    """Send nothing at all."""

    def may_send(self, _instance: str, _now_ms: float) -> bool:
        """Send never."""
        return False


class EqualShare:
    """Give every gateway the same part of the rate."""

    def __init__(self, _gateway: str, limits: RateLimits) -> None:
        self._total = min(limits.requests_per_s, limits.burst / 2)
        self._pacer = Pacer()
        self._share = self._make_share(1)

    def set_members(self, members: Collection[str], _now_ms: float) -> None:
        """Share among all that are known."""
        self._share = self._make_share(max(1, len(members)))

    def may_send(self, instance: str, now_ms: float) -> bool:
        """Keep to the share."""
        return not self._pacer.get_wait_ms(instance, self._share, now_ms)

    def note_sent(self, instance: str, now_ms: float) -> None:
        """Count it."""
        self._pacer.record(instance, (self._share,), now_ms)

    def _make_share(self, gateways: int) -> SenderQuota:
        requests = max(1, math.floor(self._total / gateways))
        return SenderQuota(
            senders=gateways,
            requests=requests,
            window_ms=(_SECOND_MS + global_settings.REQUEST_TRANSIT_MS)
            * max(1, gateways / self._total),
            requests_at_once=requests,
        )


class Ranked:
    """Let the gateways send that rank highest, as the product does."""

    settle_ms: float = SETTLE_MS

    def __init__(self, gateway: str, limits: RateLimits) -> None:
        self._limits = limits
        self._throttle = Throttle(
            gateway=gateway, propagation_ms=self.settle_ms
        )

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """Choose among all that are known."""
        self._throttle.senders.set_members(members, now_ms)

    def may_send(self, instance: str, now_ms: float) -> bool:
        """Keep to the share of those that are chosen."""
        self._throttle.warm_ups.record(instance, _FAR_MS)
        return not self._throttle.get_wait_ms(instance, self._limits, now_ms)

    def note_sent(self, instance: str, now_ms: float) -> None:
        """Count it."""
        self._throttle.record_sent(instance, self._limits, now_ms)


class RankedAtOnce(Ranked):
    """Wrong variant: send before the others have heard of this gateway."""

    settle_ms = 0


class Bucket:
    """Wrong variant: fill a bucket, whose bursts meet at its edges."""

    def __init__(self, gateway: str, limits: RateLimits) -> None:
        self._senders = Senders(gateway=gateway, propagation_ms=SETTLE_MS)
        self._limits = limits
        self._sent: dict[tuple[str, int], int] = {}

    def set_members(self, members: Collection[str], now_ms: float) -> None:
        """Choose among all that are known."""
        self._senders.set_members(members, now_ms)

    def may_send(self, instance: str, now_ms: float) -> bool:
        """Begin to count anew with each second."""
        share = derive_quota(self._limits, self._senders.count())
        sent = self._sent.get((instance, int(now_ms // 1000)), 0)
        is_chosen = self._senders.is_chosen(instance, share.senders, now_ms)
        return is_chosen and sent < 2 * share.requests

    def note_sent(self, instance: str, now_ms: float) -> None:
        """Count it."""
        second = (instance, int(now_ms // 1000))
        self._sent[second] = self._sent.get(second, 0) + 1


POLICIES: dict[str, MakePolicy] = {
    'as all others': Unlimited,
    'nobody': Nobody,
    'equal share': EqualShare,
    'ranked': Ranked,
}
WRONG_VARIANTS: dict[str, MakePolicy] = {
    'without a time to settle': RankedAtOnce,
    'with a bucket for each second': Bucket,
}
