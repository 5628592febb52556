"""Quarantine requests that crash the upstream instances that run them."""

from ragworthollow.quarantine.crash_record import CrashRecord
from ragworthollow.quarantine.crash_registry import CrashRegistry
from ragworthollow.quarantine.evidence_exchange import (
    EvidenceExchange,
    make_report,
)
from ragworthollow.quarantine.evidence_update import CrashReport, EvidenceUpdate
from ragworthollow.quarantine.fingerprint import (
    make_fingerprint,
    make_part_fingerprints,
)

__all__ = (
    'CrashRecord',
    'CrashRegistry',
    'CrashReport',
    'EvidenceExchange',
    'EvidenceUpdate',
    'make_fingerprint',
    'make_part_fingerprints',
    'make_report',
)
