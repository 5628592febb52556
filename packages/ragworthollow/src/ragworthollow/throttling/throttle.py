"""Decide to which instances this gateway may send a request now."""

from collections.abc import Iterator

from ragworthollow.throttling.advertised_limits import AdvertisedLimits
from ragworthollow.throttling.limits import RateLimits, derive_advertised_limits
from ragworthollow.throttling.pacer import Pacer
from ragworthollow.throttling.quota import SenderQuota, derive_quota
from ragworthollow.throttling.senders import Senders
from ragworthollow.throttling.warm_up_tracker import WarmUpTracker
from ragworthollow.utils import get_boottime_ms, get_monotonic_ms


class Throttle:
    """
    Keep the requests of all gateways together within the limits of instances.

    An instance accepts less while it warms up, or if it advertises a limit in
    its responses.  All gateways would send to it at the same time, since it
    looks like the least loaded instance in the reports that all of them read.
    Each such instance is therefore assigned some gateways by rank, and each of
    these may send a fixed number of requests in any window.  Where several
    limits apply, all of them are enforced.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    propagation_ms : float
        Time in which all gateways learn of a gateway that has registered.
    """

    def __init__(self, *, gateway: str, propagation_ms: float) -> None:
        self.warm_ups = WarmUpTracker()
        self.advertised_limits = AdvertisedLimits()
        self.senders = Senders(gateway=gateway, propagation_ms=propagation_ms)
        self._pacer = Pacer()

    def is_needed(self) -> bool:
        """Return whether any instance may currently have a limit."""
        if self.advertised_limits.may_have_any(get_boottime_ms()):
            return True
        return self.warm_ups.may_have_any(get_monotonic_ms())

    def get_wait_ms(
        self,
        incarnation: str,
        warm_up_limits: RateLimits | None,
        now_ms: float,
        *,
        is_only_sender: bool = False,
    ) -> float:
        """
        Return how long this gateway must not send to an instance.

        Parameters
        ----------
        incarnation : str
            Incarnation of the instance.
        warm_up_limits : RateLimits or None
            Limits of the instances of its pool while they warm up; None for
            no limit.
        now_ms : float
            Time on the monotonic clock.
        is_only_sender : bool
            Whether no other gateway sends to the pool.

        Returns
        -------
        float
            Milliseconds; 0 if it may get a request now.
        """
        wait_ms = 0
        for limits, remaining_ms in self._find_limits(
            incarnation,
            warm_up_limits,
            now_ms,
        ):
            quota = self._find_quota(
                incarnation,
                limits,
                now_ms,
                is_only_sender=is_only_sender,
            )
            if quota is not None:
                paced_ms = self._pacer.get_wait_ms(incarnation, quota, now_ms)
                remaining_ms = min(remaining_ms, paced_ms)
            wait_ms = max(wait_ms, remaining_ms)
        return wait_ms

    def record_sent(
        self,
        incarnation: str,
        warm_up_limits: RateLimits | None,
        now_ms: float,
        *,
        is_only_sender: bool = False,
    ) -> None:
        """Record a request that is sent to an instance now."""
        quotas = [
            self._find_quota(
                incarnation,
                limits,
                now_ms,
                is_only_sender=is_only_sender,
            )
            for limits, _ in self._find_limits(
                incarnation,
                warm_up_limits,
                now_ms,
            )
        ]
        known = [quota for quota in quotas if quota is not None]
        if known:
            self._pacer.record(incarnation, known, now_ms)

    def _find_limits(
        self,
        incarnation: str,
        warm_up_limits: RateLimits | None,
        now_ms: float,
    ) -> Iterator[tuple[RateLimits, float]]:
        """Yield the limits of an instance and how long each still applies."""
        remaining_ms = self.warm_ups.get_remaining_ms(incarnation, now_ms)
        if warm_up_limits is not None and remaining_ms:
            yield warm_up_limits, remaining_ms
        boottime_ms = get_boottime_ms()
        advertised = self.advertised_limits.find(incarnation, boottime_ms)
        if advertised is not None:
            yield (
                derive_advertised_limits(advertised.requests_per_s),
                self.advertised_limits.get_remaining_ms(
                    advertised, boottime_ms
                ),
            )

    def _find_quota(
        self,
        incarnation: str,
        limits: RateLimits,
        now_ms: float,
        *,
        is_only_sender: bool,
    ) -> SenderQuota | None:
        """Return the quota of this gateway; None if only others may send."""
        if is_only_sender:
            return derive_quota(limits, 1)
        quota = derive_quota(limits, self.senders.count())
        if not self.senders.is_chosen(incarnation, quota.senders, now_ms):
            return None
        if self.senders.is_chosen(incarnation, quota.extra, now_ms):
            return quota.add_extra()
        return quota
