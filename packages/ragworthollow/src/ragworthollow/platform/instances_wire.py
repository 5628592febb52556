"""Decode the upstream instances' own entries in the store."""

import msgspec

from ragworthollow.logs.events import log_error
from ragworthollow.upstreams import UpstreamInstance
from ragworthollow.utils.message import Message

INSTANCES_PREFIX = 'servers/'

_LEAVING = 'draining'


class _Entry(Message):
    """
    Hold one entry.

    `backend` is the pool, `zone` the failure domain; `state` is `ready` or
    `draining`, which means that the instance will stop soon.
    """

    backend: str
    addr: str
    zone: str
    slots: int = 1
    state: str = 'ready'


def decode_instance(key: str, text: bytes) -> UpstreamInstance | None:
    """
    Decode one entry.

    Parameters
    ----------
    key : str
        Key of the entry, which ends in the instance's identifier.
    text : bytes
        Its JSON.

    Returns
    -------
    UpstreamInstance or None
        None for an entry that cannot be read, which is logged.
    """
    try:
        found = msgspec.json.decode(text, type=_Entry)
    except msgspec.DecodeError as error:
        log_error(
            'instance_entry_unreadable',
            step='instances',
            peer=key,
            error=str(error),
        )
        return None
    return UpstreamInstance(
        instance=key.removeprefix(INSTANCES_PREFIX),
        pool=found.backend,
        address=found.addr,
        failure_domain=found.zone,
        slots=found.slots,
        is_leaving=found.state == _LEAVING,
    )
