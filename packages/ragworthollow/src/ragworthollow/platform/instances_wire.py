"""Decode the upstream instances' own entries in the store."""

import enum
import ipaddress
from typing import Annotated

import msgspec

from ragworthollow.logs.events import log_error
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils.message import Message

INSTANCES_PREFIX = 'servers/'

_PORTS = range(1, 2**16)


class _State(enum.StrEnum):
    """Say whether an instance takes work."""

    ready = 'ready'
    leaving = 'draining'


class _Entry(Message):
    """
    Hold one entry, with every field that an instance always writes.

    `backend` is the pool, `zone` the failure domain, `version` that of its
    software, `cold_left_ms` how much longer it stays slow after its start,
    and `seq` counts its reports.  `born` is the Unix millisecond of its
    start; an instance that starts again may keep its identifier.
    """

    backend: str
    addr: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: _State
    cold_left_ms: float
    seq: int
    born: int = 0


def decode_instance(key: str, text: bytes) -> UpstreamInstance | None:
    """
    Decode one entry.

    Anybody may write under the prefix.  An entry with a field missing or of
    another type, or in a state that has no name here, was not written by an
    instance: taken for one, it would get requests at an address where nothing
    or something else listens.

    Parameters
    ----------
    key : str
        Key of the entry, which ends in the instance's identifier.
    text : bytes
        Its JSON.

    Returns
    -------
    UpstreamInstance or None
        None for an entry that names no instance, which is logged.
    """
    name = key.removeprefix(INSTANCES_PREFIX)
    try:
        found = msgspec.json.decode(text, type=_Entry)
    except (msgspec.DecodeError, RecursionError) as error:
        return _reject(key, repr(error))
    if not name or not _is_address(found.addr):
        return _reject(key, f'no instance at {found.addr!r}')
    return UpstreamInstance(
        instance=name,
        pool=found.backend,
        address=found.addr,
        failure_domain=found.zone,
        slots=found.slots,
        is_leaving=found.state is _State.leaving,
        started_unix_ms=found.born,
        warm_up_remaining_ms=max(0, found.cold_left_ms),
    )


def _reject(key: str, reason: str) -> None:
    log_error(
        'instance_entry_unreadable',
        step='instances',
        peer=key,
        error=reason,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and int(port) in _PORTS
