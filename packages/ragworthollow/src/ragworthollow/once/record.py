"""Define what an owner remembers of a key."""

import enum

import msgspec

from ragworthollow.utils.message import Message

_OVERHEAD_BYTES = 600


class RecordState(enum.StrEnum):
    """Tell how far the call of a key has come."""

    running = 'running'
    done = 'done'
    failed = 'failed'
    unknown = 'unknown'


class KeyRecord(Message):
    """
    Remember one key.

    Attributes
    ----------
    key : str
        Full once key.
    born_ms : int
        Its time of birth, Unix epoch.
    state : RecordState
        How far it has come.
    request_id : str
        Request that ran it.
    fingerprint : str
        Hash of that request's body.
    output : Raw
        Output of the call when `done`.
    earlier : dict
        Outputs of the stages before, part of the same whole answer.
    detail : str
        What the upstream said when it failed.
    """

    key: str
    born_ms: int
    state: RecordState
    request_id: str
    fingerprint: str = ''
    output: msgspec.Raw = msgspec.Raw(b'null')
    earlier: dict[str, msgspec.Raw] = {}
    detail: str = ''

    def get_size_bytes(self) -> int:
        """Estimate the memory it takes, in bytes."""
        earlier = sum(map(len, self.earlier.values()))
        return _OVERHEAD_BYTES + len(self.output) + earlier
