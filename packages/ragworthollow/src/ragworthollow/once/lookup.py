"""Define the response to the lookup of a key."""

import enum

from ragworthollow.once.record import KeyRecord
from ragworthollow.utils.message import Message


class LookupState(enum.StrEnum):
    """Define the states of a key that the queried process can report."""

    absent = 'absent'
    running = 'running'
    finished = 'finished'
    uncertain = 'uncertain'
    born_before = 'born_before'
    not_owner = 'not_owner'


class LookupAnswer(Message):
    """
    Hold the response to a lookup.

    Attributes
    ----------
    state : LookupState
        `absent` only if the owner is certain that the key never ran.
    record : KeyRecord or None
        Set if the call has finished.
    """

    state: LookupState
    record: KeyRecord | None = None
