"""Define the JSON of the key-value service's gateway."""

import msgspec

from ragworthollow.utils.message import Message


class KeyRecord(Message):
    """Hold one key; numbers are strings, as the protocol has them."""

    key: str = ''
    encoded: str = msgspec.field(name='value', default='')
    create_revision: str = '0'
    mod_revision: str = '0'


class Header(Message):
    """Hold the revision of the whole store."""

    revision: str = '0'


class RangeAnswer(Message):
    """Answer a read."""

    header: Header = Header()
    kvs: tuple[KeyRecord, ...] = ()


class TxnAnswer(Message):
    """Answer a transaction."""

    succeeded: bool = False


class LeaseAnswer(Message):
    """Describe a lease; a time to live of 0 means that it has lapsed."""

    lease: str = msgspec.field(name='ID', default='0')
    ttl: str = msgspec.field(name='TTL', default='0')


class KeepAliveAnswer(Message):
    """Answer a renewal."""

    result: LeaseAnswer = LeaseAnswer()


class WatchEvent(Message):
    """Tell of one change."""

    kv: KeyRecord = KeyRecord()


class WatchResult(Message):
    """Tell of several changes."""

    events: tuple[WatchEvent, ...] = ()


class WatchAnswer(Message):
    """Hold one line of a watch."""

    result: WatchResult = WatchResult()
