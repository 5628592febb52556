"""Exchange evidence with other gateways."""

from collections.abc import Callable
from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.quarantine.crash_record import Suspect
from ragworthollow.quarantine.crash_registry import CrashLedger
from ragworthollow.quarantine.evidence_news import CrashReport, EvidenceNews


@dataclass(kw_only=True, slots=True)
class _Peer:
    """
    Hold what another gateway knows, and what is known of it.

    Attributes
    ----------
    knows_us : bool
        Whether it has heard from this process.
    told : int
        Number of the last change that it has heard.
    teller : str
        Its incarnation.
    heard : int
        Number of the last change that was heard from it.
    awaits_answer : bool
        Whether it has asked to be told that it was heard.
    """

    knows_us: bool = False
    told: int = 0
    teller: str = ''
    heard: int = 0
    awaits_answer: bool = False


class EvidenceExchange:
    """
    Tell each gateway only what it has not heard yet.

    What was told counts once the other side says that it has heard it, so
    that a lost message is told again.  One that starts anew is told all.  When
    both have heard everything, nothing is sent.

    Parameters
    ----------
    incarnation : str
        Of this process.
    ledger : CrashLedger
        The evidence.
    on_quarantine : callable
        Called with each request that is quarantined by what was heard.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        ledger: CrashLedger,
        on_quarantine: Callable[[str], None],
    ) -> None:
        self._incarnation = incarnation
        self._ledger = ledger
        self._on_quarantine = on_quarantine
        self._peers: dict[str, _Peer] = {}

    def make_news(self, peer_name: str, now_ms: float) -> EvidenceNews | None:
        """
        Make what a gateway is to be told; None when there is nothing.

        Parameters
        ----------
        peer_name : str
            The gateway.
        now_ms : float
            Time on the clock of the ledger.
        """
        peer = self._peers.setdefault(peer_name, _Peer())
        is_asking = not peer.knows_us or peer.told < self._ledger.number
        if not is_asking and not peer.awaits_answer:
            return None
        peer.awaits_answer = False
        changes = self._ledger.list_changes(peer.told)
        changes = changes[: global_settings.EVIDENCE_REPORTS]
        return EvidenceNews(
            teller=self._incarnation,
            number=changes[-1][0] if changes else self._ledger.number,
            heard_teller=peer.teller,
            heard_number=peer.heard,
            is_asking=is_asking,
            reports=tuple(
                make_report(fingerprint, suspect, now_ms)
                for _, fingerprint, suspect in changes
            ),
        )

    def take_news(
        self,
        peer_name: str,
        news: EvidenceNews,
        now_ms: float,
    ) -> None:
        """
        Take what a gateway tells.

        Parameters
        ----------
        peer_name : str
            The gateway.
        news : EvidenceNews
            What it tells.
        now_ms : float
            Time on the clock of the ledger.
        """
        peer = self._peers.setdefault(peer_name, _Peer())
        peer.teller = news.teller
        peer.heard = news.number
        peer.awaits_answer = news.is_asking
        peer.knows_us = news.heard_teller == self._incarnation
        peer.told = news.heard_number if peer.knows_us else 0
        for report in news.reports:
            self.take_report(report, now_ms)

    def take_report(self, report: CrashReport, now_ms: float) -> None:
        """Take the evidence against one request."""
        is_new = self._ledger.add(
            report.fingerprint,
            {
                incarnation: now_ms - age_ms
                for incarnation, age_ms in report.crash_ages_ms.items()
            },
            report.cleared,
            now_ms,
        )
        if is_new:
            self._on_quarantine(report.fingerprint)


def make_report(
    fingerprint: str,
    suspect: Suspect,
    now_ms: float,
) -> CrashReport:
    """Make the report of the evidence against one request."""
    return CrashReport(
        fingerprint=fingerprint,
        crash_ages_ms={
            incarnation: now_ms - at_ms
            for incarnation, at_ms in suspect.crashes.items()
        },
        cleared=tuple(suspect.cleared),
    )
