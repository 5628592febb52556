"""Define the JSON of the platform's store."""

import msgspec

from ragworthollow.utils.message import Message


class Item(Message):
    """
    Hold one key.

    `value` is base64 text; `rev` is the store-wide revision of the last
    change, and `lease` 0 means that the key does not end by itself.
    """

    key: str = ''
    encoded: str = msgspec.field(name='value', default='')
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
    """Hold changes; the next watch goes on after `as_of`."""

    events: tuple[Item, ...] = ()
    as_of: int = 0


class ExpectedRevision(Message, omit_defaults=False):
    """Expect a key's last change; revision 0 means that it is absent."""

    key: str
    rev: int


class Write(Message, omit_defaults=False):
    """Write a key; lease 0 binds it to none."""

    key: str
    encoded: str = msgspec.field(name='value')
    lease: int = 0


class TransactionCall(Message, omit_defaults=False):
    """Change keys when every expectation holds."""

    expect_rev: tuple[ExpectedRevision, ...] = ()
    writes: tuple[Write, ...] = ()
    remove: tuple[str, ...] = ()


class LeaseCall(Message, omit_defaults=False):
    """Ask for a lease."""

    ttl_ms: int


class LeaseAnswer(Message):
    """Describe a lease."""

    lease: int = 0
    ttl_ms: int = 0
