"""Define the record that an owner stores for a key."""

import enum

import msgspec

from ragworthollow.utils.message import Message

_RECORD_OVERHEAD_BYTES = 600


class RecordState(enum.StrEnum):
    """Define the states of the call of a key."""

    running = 'running'
    done = 'done'
    failed = 'failed'
    unknown = 'unknown'


class KeyRecord(Message):
    """
    Hold the state and result of the call of one key.

    Attributes
    ----------
    key : str
        Full once key.
    born_ms : int
        Creation time of the key, in milliseconds of Unix time.
    state : RecordState
        State of the call.
    request_id : str
        Id of the request that ran the call.
    fingerprint : str
        Hash of the body of that request.
    output : Raw
        Output of the call if `done`.
    earlier : dict
        Outputs of the earlier stages, part of the same complete answer.
    detail : str
        Error description of the upstream if the call failed.
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
        """Return the estimated memory of the record, in bytes."""
        earlier = sum(map(len, self.earlier.values()))
        return _RECORD_OVERHEAD_BYTES + len(self.output) + earlier
