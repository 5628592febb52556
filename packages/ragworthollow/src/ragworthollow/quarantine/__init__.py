"""Quarantine requests that crash the upstream instances that run them."""

from ragworthollow.quarantine.evidence_exchange import (
    EvidenceExchange,
    make_report,
)
from ragworthollow.quarantine.evidence_news import CrashReport, EvidenceNews
from ragworthollow.quarantine.fingerprint import make_fingerprint
from ragworthollow.quarantine.ledger import CrashLedger
from ragworthollow.quarantine.suspect import Suspect

__all__ = (
    'CrashLedger',
    'CrashReport',
    'EvidenceExchange',
    'EvidenceNews',
    'Suspect',
    'make_fingerprint',
    'make_report',
)
