"""Run non-repeatable calls at most once, across crashes and retries."""

from ragworthollow.once.assignment import Assignment, Member, RangeOwner
from ragworthollow.once.key_registry import KeyRegistry
from ragworthollow.once.lookup import LookupAnswer, LookupState
from ragworthollow.once.ownership import Ownership
from ragworthollow.once.record import KeyRecord, RecordState

__all__ = (
    'Assignment',
    'KeyRecord',
    'KeyRegistry',
    'LookupAnswer',
    'LookupState',
    'Member',
    'Ownership',
    'RangeOwner',
    'RecordState',
)
