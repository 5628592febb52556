"""Decode the records that upstream instances write to the store."""

import enum
from collections.abc import Callable
from typing import Annotated

import msgspec

from ragworthollow.logs.events import log_error
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils import SocketAddress, decode_json
from ragworthollow.utils.message import Message

INSTANCES_PREFIX = 'servers/'

# More than any instance has.
_MAX_SLOTS = 1_000_000


class _State(enum.StrEnum):
    """Enumerate the states of an instance as written on the wire."""

    ready = 'ready'
    leaving = 'draining'


class _Entry(Message):
    """
    Hold one record; instances always write the fields without a default.

    `backend` is the pool, `zone` the failure domain, `version` the software
    version, `cold_left_ms` the remaining warm-up time, and `seq` counts the
    reports.  `born` is the start time in Unix milliseconds; an instance that
    restarts may keep its identifier.
    """

    backend: str
    addr: SocketAddress
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: _State
    cold_left_ms: float
    seq: int
    born: int = 0


def _log_unreadable(key: str, reason: str) -> None:
    log_error(
        'instance_entry_unreadable',
        step='instances',
        peer=key,
        error=reason,
    )


def decode_instance(
    key: str,
    text: bytes,
    on_unreadable: Callable[[str, str], None] = _log_unreadable,
) -> UpstreamInstance | None:
    """
    Decode one record.

    Any process may write under the prefix.  A record with a missing field, a
    field of another type or an unknown state was not written by an instance:
    if it were accepted, requests would go to an address where nothing or
    another service listens.

    Parameters
    ----------
    key : str
        Key of the record, which ends in the instance's identifier.
    text : bytes
        The record as JSON.
    on_unreadable : callable
        Called with the key of an invalid record and the reason.

    Returns
    -------
    UpstreamInstance or None
        The instance, or None for an invalid record.
    """
    name = key.removeprefix(INSTANCES_PREFIX)
    try:
        entry = decode_json(text, _Entry)
    except msgspec.DecodeError as error:
        return on_unreadable(key, repr(error))
    if not name:
        return on_unreadable(key, 'no instance name')
    return UpstreamInstance(
        instance=name,
        pool=entry.backend,
        address=entry.addr,
        failure_domain=entry.zone,
        slots=entry.slots,
        is_leaving=entry.state is _State.leaving,
        started_unix_ms=entry.born,
        warm_up_remaining_ms=max(0, entry.cold_left_ms),
        software_version=entry.version,
    )
