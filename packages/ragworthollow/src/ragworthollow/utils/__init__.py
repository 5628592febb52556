"""Provide general helpers: clocks, hashes, identifiers, messages, YAML."""

from ragworthollow.utils.clock import (
    get_boottime_ms,
    get_monotonic_ms,
    get_wall_ms,
    use_monotonic,
)
from ragworthollow.utils.hashing import get_rank, hash_secret
from ragworthollow.utils.identifiers import get_birth_ms, make_identifier
from ragworthollow.utils.message import Message, StrictMessage

__all__ = (
    'Message',
    'StrictMessage',
    'get_birth_ms',
    'get_boottime_ms',
    'get_monotonic_ms',
    'get_rank',
    'get_wall_ms',
    'hash_secret',
    'make_identifier',
    'use_monotonic',
)
