"""Define the key under which a call runs at most once."""

from ragworthollow.utils.message import Message


class OnceKey(Message):
    """
    Identify a non-repeatable call across retries of its caller.

    Attributes
    ----------
    key : str
        Organisation, pipeline and idempotency key in one.
    born_ms : int
        Time of birth of the idempotency key, Unix epoch.
    fresh : bool
        True only when this very call is the first in which anybody sees the
        key: its entry has just made it.
    fingerprint : str
        Hash of the request body; a key used for another body is an error.
    """

    key: str
    born_ms: int
    fresh: bool = False
    fingerprint: str = ''
