"""Decide which instances that warm up may get a request now."""

from ragworthollow.throttling.limits import RateLimits
from ragworthollow.throttling.named_limits import NamedLimits
from ragworthollow.throttling.pacer import Pacer
from ragworthollow.throttling.senders import Senders
from ragworthollow.throttling.share import SenderShare, derive_share
from ragworthollow.throttling.warm_ups import WarmUps
from ragworthollow.utils import get_monotonic_ms


class Throttle:
    """
    Keep all gateways together within what instances bear while they warm up.

    An instance that has just started crashes under a rate that it would bear
    later, and looks like the least loaded one in the reports that all gateways
    read.  So each instance is given a few gateways by rank, and each of these
    a fixed number of requests in any second.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    settle_ms : float
        Time in which all gateways hear of one that has registered.
    """

    def __init__(self, *, gateway: str, settle_ms: float) -> None:
        self.warm_ups = WarmUps()
        self.named_limits = NamedLimits()
        self.senders = Senders(gateway=gateway, settle_ms=settle_ms)
        self._pacer = Pacer()

    def is_needed(self) -> bool:
        """Tell whether any instance may warm up now."""
        return self.warm_ups.may_have_any(get_monotonic_ms())

    def get_wait_ms(
        self,
        incarnation: str,
        limits: RateLimits,
        now_ms: float,
        *,
        is_only_sender: bool = False,
    ) -> float:
        """
        Return how long an instance may get nothing from here.

        Parameters
        ----------
        incarnation : str
            Start of the instance.
        limits : RateLimits
            What instances of its pool bear.
        now_ms : float
            Time on the monotonic clock.
        is_only_sender : bool
            Whether no other gateway sends to the pool.

        Returns
        -------
        float
            0 if it may get a request now.
        """
        left_ms = self.warm_ups.get_left_ms(incarnation, now_ms)
        if not left_ms:
            return 0
        share = self._get_share(limits, is_only_sender=is_only_sender)
        is_sender = is_only_sender or self.senders.is_chosen(
            incarnation,
            share.senders,
            now_ms,
        )
        if not is_sender:
            return left_ms
        paced_ms = self._pacer.get_wait_ms(incarnation, share, now_ms)
        return min(left_ms, paced_ms)

    def note_sent(
        self,
        incarnation: str,
        limits: RateLimits,
        now_ms: float,
        *,
        is_only_sender: bool = False,
    ) -> None:
        """Note a request that is sent to an instance now."""
        if self.warm_ups.get_left_ms(incarnation, now_ms):
            share = self._get_share(limits, is_only_sender=is_only_sender)
            self._pacer.note(incarnation, share, now_ms)

    def _get_share(
        self,
        limits: RateLimits,
        *,
        is_only_sender: bool,
    ) -> SenderShare:
        gateways = 1 if is_only_sender else self.senders.count()
        return derive_share(limits, gateways)
