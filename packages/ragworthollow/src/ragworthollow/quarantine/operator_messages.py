"""Define what operators and gateways say of requests that are quarantined."""

from ragworthollow.utils.message import Message

QUARANTINE_PATH = '/quarantine'
RELEASE_PATH = '/quarantine/release'


class QuarantinedRequest(Message):
    """
    Show a request that is quarantined.

    Attributes
    ----------
    fingerprint : str
        The request, as log lines name it.
    crashes : tuple of str
        Incarnations of instances that crashed while they ran it.
    left_ms : float
        For how long it still is.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    left_ms: float


class ReleaseOrder(Message):
    """Let a request in again, at every gateway."""

    fingerprint: str


class ReleaseAnswer(Message, omit_defaults=False):
    """Say whether there was anything against the request."""

    is_released: bool
