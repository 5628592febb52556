"""Define the messages in which gateways exchange crash evidence."""

from typing import Annotated

import msgspec

from ragworthollow.utils.message import Message

# A crash in the future would quarantine a request for good.
_Age = Annotated[float, msgspec.Meta(ge=0)]


class CrashReport(Message):
    """
    Report the evidence against one request or prompt part.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request or of the part.
    crash_ages_ms : dict of str to float
        Time since each incarnation of an instance that was running the
        request ended, by incarnation.
    cleared : tuple of str
        Incarnations whose crashes no longer count against the request.
    run_ms : dict of str to float
        Shortest time for which a request with a part had been running there,
        by incarnation.
    companions : tuple of str or None
        Prompt parts of the request, or those that each request with this part
        had as well when it was in a crash; None if unknown.
    attempts : int
        Largest number of attempts with a part that had ended at any gateway
        when it reported a crash.
    has_succeeded : bool
        Whether it is known to have succeeded at any time.
    """

    fingerprint: str
    crash_ages_ms: dict[str, _Age] = {}
    cleared: tuple[str, ...] = ()
    run_ms: dict[str, float] = {}
    companions: tuple[str, ...] | None = None
    attempts: int = 0
    has_succeeded: bool = False


class EvidenceUpdate(Message):
    """
    Send changes that the receiver lacks, and acknowledge received changes.

    Attributes
    ----------
    teller : str
        Incarnation of the sending gateway.
    number : int
        Sequence number of the last of its changes that is sent.
    heard_teller : str
        Incarnation of the receiver from which changes were last received.
    heard_number : int
        Sequence number of the last change received from that incarnation.
    is_asking : bool
        Whether the sender requests an acknowledgement.
    reports : tuple of CrashReport
        Evidence that has changed.
    """

    teller: str
    number: int = 0
    heard_teller: str = ''
    heard_number: int = 0
    is_asking: bool = False
    reports: tuple[CrashReport, ...] = ()
