"""Run non-repeatable calls at most once, across crashes and retries."""

from ragworthollow.once.assignment import Assignment, Member, RangeOwner
from ragworthollow.once.ledger import Ledger
from ragworthollow.once.lookup import LookupAnswer, LookupState
from ragworthollow.once.ownership import Ownership
from ragworthollow.once.record import KeyRecord, RecordState

__all__ = (
    'Assignment',
    'KeyRecord',
    'Ledger',
    'LookupAnswer',
    'LookupState',
    'Member',
    'Ownership',
    'RangeOwner',
    'RecordState',
)
