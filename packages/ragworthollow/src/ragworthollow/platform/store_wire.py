"""Define the JSON messages of the platform's store."""

import msgspec

from ragworthollow.utils.message import Message


class Item(Message):
    """
    Hold one key and its value.

    `value` is sent as Base64 text; `rev` is the store-wide revision of the
    last change; with a `lease` of 0 the key does not expire.
    """

    key: str = ''
    stored_bytes: bytes = msgspec.field(name='value', default=b'')
    rev: int = 0
    create_revision: int = 0
    lease: int = 0
    tombstone: bool = False
    as_of: int = 0


class RangePage(Message):
    """Hold a page of keys; `as_of` is the revision of the store."""

    items: tuple[Item, ...] = ()
    has_more: bool = False
    as_of: int = 0


class WatchPage(Message):
    """Hold changes; the next watch continues after `as_of`."""

    events: tuple[Item, ...] = ()
    as_of: int = 0


class ExpectedRevision(Message, omit_defaults=False):
    """Require the revision of a key; 0 means that the key is absent."""

    key: str
    rev: int


class Write(Message, omit_defaults=False):
    """Write a key; with a lease of 0 it is bound to no lease."""

    key: str
    encoded: str = msgspec.field(name='value')
    lease: int = 0


class TransactionRequest(Message, omit_defaults=False):
    """Change keys if every expected revision matches."""

    expect_rev: tuple[ExpectedRevision, ...] = ()
    writes: tuple[Write, ...] = ()
    remove: tuple[str, ...] = ()


class LeaseRequest(Message, omit_defaults=False):
    """Request a lease."""

    ttl_ms: int


class LeaseResponse(Message):
    """Describe a lease."""

    lease: int = 0
    ttl_ms: int = 0
