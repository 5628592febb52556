"""Hold the response of a stage instance to a message."""

from dataclasses import dataclass

from multidict import CIMultiDictProxy

from ragworthollow_daemon.gateway.attribution import Attribution


@dataclass(frozen=True, kw_only=True, slots=True)
class StageResponse:
    """
    Hold a complete response.

    Attributes
    ----------
    status : int
        Status code.
    headers : CIMultiDictProxy
        Headers as received.
    body : bytes
        Complete body.
    attribution : Attribution
        What shows that it answers the message.
    """

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes
    attribution: Attribution
