"""Define what an owner says of a key before anything runs."""

import enum

from ragworthollow.once.record import KeyRecord
from ragworthollow.utils.message import Message


class LookupState(enum.StrEnum):
    """Tell what the owner knows for certain."""

    absent = 'absent'
    running = 'running'
    finished = 'finished'
    uncertain = 'uncertain'
    born_before = 'born_before'
    not_owner = 'not_owner'


class LookupAnswer(Message):
    """
    Answer a lookup.

    Attributes
    ----------
    state : LookupState
        `absent` is said only by an owner that is certain the key never ran.
    record : KeyRecord or None
        Present when it has finished.
    """

    state: LookupState
    record: KeyRecord | None = None
