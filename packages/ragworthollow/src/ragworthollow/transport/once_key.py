"""Define the key under which a call runs at most once."""

from ragworthollow.utils.message import Message


class OnceKey(Message):
    """
    Identify a non-repeatable call across retries of its caller.

    Attributes
    ----------
    key : str
        Organisation, pipeline and idempotency key, joined by slashes.
    born_ms : int
        Creation time of the idempotency key, in Unix milliseconds.
    fresh : bool
        Whether the entry has just generated the key, so that no other
        request can have used it.
    fingerprint : str
        Hash of the inputs; reusing a key with other inputs is an error.
    """

    key: str
    born_ms: int
    fresh: bool = False
    fingerprint: str = ''
