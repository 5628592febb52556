"""Quarantine requests that crash the upstream instances that run them."""

from ragworthollow.quarantine.evidence_exchange import (
    EvidenceExchange,
    make_report,
)
from ragworthollow.quarantine.evidence_news import CrashReport, EvidenceUpdate
from ragworthollow.quarantine.fingerprint import make_fingerprint
from ragworthollow.quarantine.ledger import CrashRegistry
from ragworthollow.quarantine.suspect import CrashRecord

__all__ = (
    'CrashRecord',
    'CrashRegistry',
    'CrashReport',
    'EvidenceExchange',
    'EvidenceUpdate',
    'make_fingerprint',
    'make_report',
)
