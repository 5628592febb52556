"""Quarantine requests and prompt parts that crash the upstream instances."""

from ragworthollow.quarantine.crash_record import CrashRecord
from ragworthollow.quarantine.crash_registry import CrashRegistry
from ragworthollow.quarantine.evidence_exchange import (
    EvidenceExchange,
    make_report,
)
from ragworthollow.quarantine.evidence_update import CrashReport, EvidenceUpdate
from ragworthollow.quarantine.fingerprint import (
    make_fingerprint,
    make_key_fingerprint,
    make_part_fingerprints,
)
from ragworthollow.quarantine.quarantine_limits import QuarantineLimits
from ragworthollow.quarantine.running_request import RunningRequest

__all__ = (
    'CrashRecord',
    'CrashRegistry',
    'CrashReport',
    'EvidenceExchange',
    'EvidenceUpdate',
    'QuarantineLimits',
    'RunningRequest',
    'make_fingerprint',
    'make_key_fingerprint',
    'make_part_fingerprints',
    'make_report',
)
