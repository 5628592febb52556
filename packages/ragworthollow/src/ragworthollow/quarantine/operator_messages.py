"""Define the messages of operators about quarantined requests."""

from ragworthollow.utils.message import Message

QUARANTINE_PATH = '/quarantine'
RELEASE_PATH = '/quarantine/release'


class QuarantinedRequest(Message):
    """
    Describe a quarantined request or prompt part.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request or of the part, as in log lines.
    crashes : tuple of str
        Incarnations of instances that crashed while running it.
    left_ms : float
        Remaining time of its quarantine.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    left_ms: float


class ReleaseRequest(Message):
    """Release a request from quarantine at every gateway."""

    fingerprint: str


class ReleaseResponse(Message, omit_defaults=False):
    """Report whether there was evidence against the request."""

    is_released: bool
