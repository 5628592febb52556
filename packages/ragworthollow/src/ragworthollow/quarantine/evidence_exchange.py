"""Exchange crash evidence with other gateways."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings
from ragworthollow.quarantine.crash_record import CrashRecord
from ragworthollow.quarantine.crash_registry import CrashRegistry
from ragworthollow.quarantine.evidence_update import CrashReport, EvidenceUpdate


@dataclass(kw_only=True, slots=True)
class _PeerProgress:
    """
    Track the progress of the exchange with another gateway.

    Attributes
    ----------
    knows_incarnation : bool
        Whether it has received an update from this incarnation.
    acked_number : int
        Sequence number of the last change that it has acknowledged.
    sender : str
        Its incarnation.
    received_number : int
        Sequence number of the last change that was received from it.
    needs_ack : bool
        Whether it has requested an acknowledgement.
    """

    knows_incarnation: bool = False
    acked_number: int = 0
    sender: str = ''
    received_number: int = 0
    needs_ack: bool = False


class EvidenceExchange:
    """
    Send each gateway only the evidence that it has not received yet.

    Evidence counts as delivered once the other gateway acknowledges it, so
    that a lost message is sent again.  A gateway that restarts is sent
    everything.  Nothing is sent while both sides are up to date.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process.
    registry : CrashRegistry
        Registry of the evidence.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        registry: CrashRegistry,
    ) -> None:
        self._incarnation = incarnation
        self._registry = registry
        self._peers: dict[str, _PeerProgress] = {}

    def make_update(
        self, peer_name: str, now_ms: float
    ) -> EvidenceUpdate | None:
        """
        Build the update for a gateway; return None if there is nothing to send.

        Parameters
        ----------
        peer_name : str
            Name of the gateway.
        now_ms : float
            Time on the clock of the registry.
        """
        peer = self._peers.setdefault(peer_name, _PeerProgress())
        is_asking = (
            not peer.knows_incarnation
            or peer.acked_number < self._registry.last_number
        )
        if not is_asking and not peer.needs_ack:
            return None
        peer.needs_ack = False
        changes = self._registry.list_changes(peer.acked_number)
        changes = changes[: global_settings.MAX_EVIDENCE_REPORTS]
        return EvidenceUpdate(
            teller=self._incarnation,
            number=changes[-1][0] if changes else self._registry.last_number,
            heard_teller=peer.sender,
            heard_number=peer.received_number,
            is_asking=is_asking,
            reports=tuple(
                make_report(fingerprint, record, now_ms)
                for _, fingerprint, record in changes
            ),
        )

    def apply_update(
        self,
        peer_name: str,
        update: EvidenceUpdate,
        now_ms: float,
    ) -> None:
        """
        Apply an update received from a gateway.

        Parameters
        ----------
        peer_name : str
            Name of the gateway.
        update : EvidenceUpdate
            Update that was received.
        now_ms : float
            Time on the clock of the registry.
        """
        peer = self._peers.setdefault(peer_name, _PeerProgress())
        peer.sender = update.teller
        peer.received_number = update.number
        peer.needs_ack = update.is_asking
        peer.knows_incarnation = update.heard_teller == self._incarnation
        peer.acked_number = update.heard_number if peer.knows_incarnation else 0
        for report in update.reports:
            self._registry.apply_report(report, now_ms)


def make_report(
    fingerprint: str,
    record: CrashRecord,
    now_ms: float,
) -> CrashReport:
    """Build the report of the evidence against one request or part."""
    return CrashReport(
        fingerprint=fingerprint,
        crash_ages_ms={
            incarnation: now_ms - crashed_ms
            for incarnation, crashed_ms in record.crashes.items()
        },
        cleared=tuple(record.cleared),
        run_ms=record.run_ms,
        companions=(
            None
            if record.companions is None
            else tuple(sorted(record.companions))
        ),
        attempts=record.attempts,
        has_succeeded=record.has_succeeded,
    )
