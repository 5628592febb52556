"""Define what gateways tell each other of crashes."""

from ragworthollow.utils.message import Message


class CrashReport(Message):
    """
    Tell the evidence against one request.

    Attributes
    ----------
    fingerprint : str
        The request.
    crash_ages_ms : dict of str to float
        How long ago each incarnation of an instance ended that was running
        it.
    cleared : tuple of str
        Those that say nothing against it any more.
    """

    fingerprint: str
    crash_ages_ms: dict[str, float] = {}
    cleared: tuple[str, ...] = ()


class EvidenceNews(Message):
    """
    Tell what the other side has not heard, and up to where it was heard.

    Attributes
    ----------
    teller : str
        Incarnation of the gateway that tells.
    number : int
        Number of its last change that is told.
    heard_teller : str
        Incarnation of the other side from which was heard last.
    heard_number : int
        Number of the last change that was heard from it.
    is_asking : bool
        Whether the teller has to know that it was heard.
    reports : tuple of CrashReport
        What has changed.
    """

    teller: str
    number: int = 0
    heard_teller: str = ''
    heard_number: int = 0
    is_asking: bool = False
    reports: tuple[CrashReport, ...] = ()
