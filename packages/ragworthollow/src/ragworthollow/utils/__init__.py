"""Provide general helpers: clocks, hashes, identifiers, messages, YAML."""

from ragworthollow.utils.addresses import HostAddress, SocketAddress
from ragworthollow.utils.clock import (
    get_boottime_ms,
    get_monotonic_ms,
    get_wall_ms,
    override_clocks,
)
from ragworthollow.utils.hashing import get_rank, hash_secret
from ragworthollow.utils.identifiers import get_creation_ms, make_identifier
from ragworthollow.utils.json_decoding import decode_json
from ragworthollow.utils.message import Message, StrictMessage
from ragworthollow.utils.number_parsing import parse_count, parse_decimal

__all__ = (
    'HostAddress',
    'Message',
    'SocketAddress',
    'StrictMessage',
    'decode_json',
    'get_boottime_ms',
    'get_creation_ms',
    'get_monotonic_ms',
    'get_rank',
    'get_wall_ms',
    'hash_secret',
    'make_identifier',
    'override_clocks',
    'parse_count',
    'parse_decimal',
)
