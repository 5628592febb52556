"""Keep requests away that crash what runs them."""

import asyncio
from collections.abc import Iterable

from ragworthollow.conf import GatewaySettings
from ragworthollow.logs.events import log_event
from ragworthollow.metrics import Metrics
from ragworthollow.quarantine import (
    CrashLedger,
    EvidenceExchange,
    EvidenceNews,
)
from ragworthollow.upstreams import Directory, UpstreamInstance
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.crash_watch import CrashWatch, Spawn

_STEP = 'quarantine'


class Quarantine:
    """
    Gather evidence of crashes here and at other gateways, and judge by it.

    A caller sends the same request again to any gateway, so that each has to
    know what all have seen.  Evidence travels with the pings between gateways;
    one that has just started is not ready before it has asked.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    incarnation : str
        Of this process.
    directory : Directory
        The instances that may get work.
    metrics : Metrics
        Of this process.
    spawn : callable
        Runs a task that outlives the request that caused it.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        incarnation: str,
        directory: Directory,
        metrics: Metrics,
        spawn: Spawn,
    ) -> None:
        self._metrics = metrics
        self._ledger = CrashLedger(
            crash_limit=settings.quarantine_crashes,
            term_ms=settings.quarantine_ms,
        )
        self._exchange = EvidenceExchange(
            incarnation=incarnation,
            ledger=self._ledger,
            on_quarantine=self._note_quarantine,
        )
        self._crashes = CrashWatch(
            directory=directory,
            metrics=metrics,
            spawn=spawn,
            on_crash=self._note_crash,
        )
        # Set when other gateways should be told without delay.
        self.has_urgent_news = asyncio.Event()
        self.has_asked = False

    def get_left_ms(self, fingerprint: str) -> float:
        """Return for how long a request is kept away; 0 if it is not."""
        return self._ledger.get_left_ms(fingerprint, get_boottime_ms())

    def list_kept_away(self) -> dict[str, float]:
        """Return how long each request that is kept away still is."""
        return self._ledger.list_kept_away(get_boottime_ms())

    def note_break(
        self,
        instance: UpstreamInstance,
        fingerprints: Iterable[str],
    ) -> None:
        """Take it that a connection with these requests broke."""
        self._crashes.note_break(instance, fingerprints)

    async def settle(self, instance: UpstreamInstance) -> None:
        """Wait until it is known whether an instance has crashed."""
        await self._crashes.settle(instance)

    def absolve(self, fingerprint: str) -> bool:
        """
        Take back all evidence against a request, which has ended well.

        Returns
        -------
        bool
            Whether there was any.
        """
        is_new = self._ledger.absolve(fingerprint, get_boottime_ms())
        if is_new:
            self._metrics.count_event('request_absolved')
            log_event('request_absolved', step=_STEP, fingerprint=fingerprint)
        return is_new

    def make_news(self, peer: str) -> EvidenceNews:
        """Make what another gateway has not heard."""
        return self._exchange.make_news(peer, get_boottime_ms())

    def take_news(self, peer: str, news: EvidenceNews | None) -> None:
        """Take what another gateway tells; None from an earlier release."""
        if news is not None:
            self._exchange.take_news(peer, news, get_boottime_ms())

    def count(self) -> int:
        """Return the number of requests against which there is evidence."""
        return self._ledger.count()

    def _note_crash(self, incarnation: str, running: Iterable[str]) -> None:
        now_ms = get_boottime_ms()
        self.has_urgent_news.set()
        for fingerprint in running:
            if self._ledger.note_crash(fingerprint, incarnation, now_ms):
                self._note_quarantine(fingerprint)

    def _note_quarantine(self, fingerprint: str) -> None:
        self._metrics.count_event('request_quarantined')
        suspect = self._ledger.get_suspect(fingerprint)
        log_event(
            'request_quarantined',
            step=_STEP,
            fingerprint=fingerprint,
            crashes=sorted(suspect.crashes),
            left_ms=round(self.get_left_ms(fingerprint)),
        )
