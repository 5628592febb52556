"""Quarantine requests that crash the instances that run them."""

import asyncio
from collections.abc import Iterable

import msgspec

from ragworthollow.conf import GatewaySettings
from ragworthollow.logs.events import log_event
from ragworthollow.metrics import Metrics
from ragworthollow.quarantine import (
    CrashLedger,
    CrashReport,
    EvidenceExchange,
    EvidenceNews,
    Suspect,
    make_report,
)
from ragworthollow.quarantine.operator_messages import QuarantinedRequest
from ragworthollow.upstreams import Directory, UpstreamInstance
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.crash_watch import CrashWatch, Spawn

_STEP = 'quarantine'


class Quarantine:
    """
    Share evidence of crashes with other gateways, and decide by it.

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
        # Requests that this process has quarantined or let in again.
        self.changed_verdicts: asyncio.Queue[str] = asyncio.Queue()
        # Set when other gateways should be told without delay.
        self.has_urgent_news = asyncio.Event()
        self.has_asked = False

    def get_left_ms(self, fingerprint: str) -> float:
        """Return for how long a request is quarantined; 0 if it is not."""
        return self._ledger.get_left_ms(fingerprint, get_boottime_ms())

    def list_quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests that are quarantined."""
        quarantined = self._ledger.list_quarantined(get_boottime_ms())
        return [
            QuarantinedRequest(
                fingerprint=fingerprint,
                crashes=self._list_crashes(fingerprint),
                left_ms=left_ms,
            )
            for fingerprint, left_ms in quarantined.items()
        ]

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

    def note_good_end(self, fingerprint: str) -> None:
        """Take back all evidence against a request that has ended well."""
        self._clear(fingerprint, 'request_cleared')

    def release(self, fingerprint: str) -> bool:
        """
        Take back all evidence against a request, as an operator asks.

        Returns
        -------
        bool
            Whether there was any.
        """
        self.has_urgent_news.set()
        return self._clear(fingerprint, 'request_released')

    def make_news(self, peer: str) -> EvidenceNews | None:
        """Make what another gateway has not heard; None for nothing."""
        return self._exchange.make_news(peer, get_boottime_ms())

    def take_news(self, peer: str, news: EvidenceNews | None) -> None:
        """Take what another gateway tells; None for nothing."""
        if news is not None:
            self._exchange.take_news(peer, news, get_boottime_ms())

    def take_report(self, report: CrashReport) -> None:
        """Take what the store holds against a request."""
        self._exchange.take_report(report, get_boottime_ms())

    def encode_record(self, fingerprint: str) -> str:
        """Encode what the store is to hold against a request."""
        suspect = self._ledger.get_suspect(fingerprint) or Suspect()
        report = make_report(fingerprint, suspect, get_boottime_ms())
        return msgspec.json.encode(report).decode()

    def count(self) -> int:
        """Return the number of requests against which there is evidence."""
        return self._ledger.count()

    def _note_crash(self, incarnation: str, running: Iterable[str]) -> None:
        now_ms = get_boottime_ms()
        self.has_urgent_news.set()
        for fingerprint in running:
            if self._ledger.note_crash(fingerprint, incarnation, now_ms):
                self._note_quarantine(fingerprint)
                self.changed_verdicts.put_nowait(fingerprint)

    def _clear(self, fingerprint: str, event: str) -> bool:
        is_quarantined = self.get_left_ms(fingerprint) > 0
        is_new = self._ledger.clear(fingerprint, get_boottime_ms())
        if is_quarantined:
            self.changed_verdicts.put_nowait(fingerprint)
        if is_new:
            self._metrics.count_event(event)
            log_event(event, step=_STEP, fingerprint=fingerprint)
        return is_new

    def _list_crashes(self, fingerprint: str) -> tuple[str, ...]:
        suspect = self._ledger.get_suspect(fingerprint)
        return () if suspect is None else tuple(sorted(suspect.crashes))

    def _note_quarantine(self, fingerprint: str) -> None:
        self._metrics.count_event('request_quarantined')
        log_event(
            'request_quarantined',
            step=_STEP,
            fingerprint=fingerprint,
            crashes=self._list_crashes(fingerprint),
            left_ms=round(self.get_left_ms(fingerprint)),
        )
