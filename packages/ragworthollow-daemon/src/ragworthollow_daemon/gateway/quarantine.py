"""Quarantine requests and prompt parts that crash instances."""

import asyncio
from collections.abc import Collection, Iterable

import msgspec

from ragworthollow.conf import GatewaySettings
from ragworthollow.logs.events import log_event
from ragworthollow.metrics import Metrics
from ragworthollow.quarantine import (
    CrashRecord,
    CrashRegistry,
    CrashReport,
    EvidenceExchange,
    EvidenceUpdate,
    QuarantineLimits,
    RunningRequest,
    make_report,
)
from ragworthollow.quarantine.operator_messages import QuarantinedRequest
from ragworthollow.upstreams import Directory, UpstreamInstance
from ragworthollow.utils import get_boottime_ms
from ragworthollow_daemon.gateway.crash_detector import CrashDetector, Spawn
from ragworthollow_daemon.gateway.quarantine_change import QuarantineChange

_STEP = 'quarantine'


class Quarantine:
    """
    Share evidence of crashes with other gateways, and quarantine by it.

    A caller may retry the same request at any gateway, so each gateway needs
    the evidence of all others.  Evidence is exchanged with the pings between
    gateways; a gateway that has just started does not become ready until it
    has polled its peers.

    Parameters
    ----------
    settings : GatewaySettings
        Validated settings.
    incarnation : str
        Incarnation of this process.
    directory : Directory
        Instances that may get work.
    metrics : Metrics
        Metrics of this process.
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
        self._registry = CrashRegistry(
            limits=QuarantineLimits(
                crashes=settings.quarantine_crashes,
                part_crashes=settings.quarantine_part_crashes,
                quarantine_ms=settings.quarantine_ms,
            ),
        )
        self._exchange = EvidenceExchange(
            incarnation=incarnation,
            registry=self._registry,
        )
        self._crash_detector = CrashDetector(
            directory=directory,
            metrics=metrics,
            spawn=spawn,
            on_crash=self._record_crash,
        )
        # Changes that the store may not know yet.
        self.changes: asyncio.Queue[QuarantineChange] = asyncio.Queue()
        # Set when other gateways should be notified without delay.
        self.has_urgent_update = asyncio.Event()
        self.has_polled_peers = False

    def get_remaining_ms(self, fingerprints: Collection[str]) -> float:
        """
        Return how long a request stays quarantined; 0 if it is not.

        Parameters
        ----------
        fingerprints : collection of str
            Fingerprints of the request and of its prompt parts.
        """
        return self._registry.get_remaining_ms(fingerprints, get_boottime_ms())

    def list_quarantined(self) -> list[QuarantinedRequest]:
        """Return the requests and prompt parts that are quarantined."""
        quarantined = self._registry.list_quarantined(get_boottime_ms())
        return [
            QuarantinedRequest(
                fingerprint=fingerprint,
                crashes=self._list_crashes(fingerprint),
                left_ms=remaining_ms,
            )
            for fingerprint, remaining_ms in quarantined.items()
        ]

    def record_connection_loss(
        self,
        instance: UpstreamInstance,
        running: Collection[RunningRequest],
    ) -> None:
        """Record that a connection with running requests was lost."""
        for request in running:
            self._registry.record_loss(request.part_fingerprints)
        self._crash_detector.record_connection_loss(instance, running)

    async def wait_for_crash_check(self, instance: UpstreamInstance) -> None:
        """Wait until the running check of an instance, if any, has ended."""
        await self._crash_detector.wait_for_crash_check(instance)

    def record_success(self, fingerprints: Iterable[str]) -> None:
        """Clear a request that succeeded, and its prompt parts."""
        for fingerprint in fingerprints:
            is_quarantined = self.get_quarantine_ms(fingerprint) > 0
            if self._registry.record_success(fingerprint, get_boottime_ms()):
                self._record_clearance(
                    fingerprint, 'request_cleared', is_quarantined
                )

    def release(self, fingerprint: str) -> bool:
        """
        Clear a request or a prompt part on behalf of an operator.

        Returns
        -------
        bool
            Whether there was any evidence against it.
        """
        self.has_urgent_update.set()
        is_quarantined = self.get_quarantine_ms(fingerprint) > 0
        has_evidence = self._registry.clear(fingerprint, get_boottime_ms())
        if has_evidence:
            self._record_clearance(
                fingerprint, 'request_released', is_quarantined
            )
        return has_evidence

    def get_quarantine_ms(self, fingerprint: str) -> float:
        """Return how long one quarantine lasts; 0 if there is none."""
        quarantined = self._registry.list_quarantined(get_boottime_ms())
        return quarantined.get(fingerprint, 0)

    def make_update(self, peer: str) -> EvidenceUpdate | None:
        """Make the update another gateway has yet to receive, or None."""
        return self._exchange.make_update(peer, get_boottime_ms())

    def apply_update(self, peer: str, update: EvidenceUpdate | None) -> None:
        """Apply the update of another gateway, if there is one."""
        if update is not None:
            self._exchange.apply_update(peer, update, get_boottime_ms())
            self._record_quarantines(is_own=False)

    def apply_report(self, report: CrashReport) -> None:
        """Apply evidence that the store holds."""
        self._registry.apply_report(report, get_boottime_ms())
        self._record_quarantines(is_own=False)

    def encode_record(self, fingerprint: str) -> str:
        """Encode the evidence against a request or part for the store."""
        crash_record = self._registry.get_record(fingerprint) or CrashRecord()
        report = make_report(fingerprint, crash_record, get_boottime_ms())
        return msgspec.json.encode(report).decode()

    def count(self) -> int:
        """Return the number of requests and parts with evidence."""
        return self._registry.count()

    def list_crashes(self) -> set[str]:
        """Return the crashed incarnations that evidence is held of."""
        return self._registry.list_crashes()

    def _record_crash(
        self, incarnation: str, running: Iterable[RunningRequest]
    ) -> None:
        now_ms = get_boottime_ms()
        self.has_urgent_update.set()
        for request in running:
            self._registry.record_crash(request, incarnation, now_ms)
        self._record_quarantines(is_own=True)

    def _record_clearance(
        self, fingerprint: str, event: str, is_quarantined: bool
    ) -> None:
        if is_quarantined:
            self.changes.put_nowait(
                QuarantineChange(fingerprint=fingerprint, is_own=True)
            )
        self._metrics.count_event(event)
        log_event(event, step=_STEP, fingerprint=fingerprint)

    def _list_crashes(self, fingerprint: str) -> tuple[str, ...]:
        crash_record = self._registry.get_record(fingerprint)
        return (
            () if crash_record is None else tuple(sorted(crash_record.crashes))
        )

    def _record_quarantines(self, *, is_own: bool) -> None:
        """Log what the evidence has newly quarantined, and queue it."""
        now_ms = get_boottime_ms()
        quarantined = self._registry.announce_quarantines(now_ms)
        remaining_ms = self._registry.list_quarantined(now_ms)
        for fingerprint in quarantined:
            self._metrics.count_event('request_quarantined')
            log_event(
                'request_quarantined',
                step=_STEP,
                fingerprint=fingerprint,
                crashes=self._list_crashes(fingerprint),
                left_ms=round(remaining_ms[fingerprint]),
            )
            self.changes.put_nowait(
                QuarantineChange(fingerprint=fingerprint, is_own=is_own)
            )
