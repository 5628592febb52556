"""Define the error that every process responds with."""

from ragworthollow.outcomes.outcome import Outcome
from ragworthollow.outcomes.reason import Reason
from ragworthollow.utils.message import Message


class Refusal(Message):
    """
    Describe why an attempt or a request has no complete response.

    Attributes
    ----------
    outcome : Outcome
        Never `done`.
    reason : Reason
        Reason, as counted in the metrics.
    step : str
        Stage or internal step at which the error occurred.
    peer : str
        Instance that reported the error, or that did not respond.
    detail : str
        One sentence for a human reader; never contains a caller's key.
    retry_after_ms : int or None
        Delay before a retry is worthwhile; None when it never is.
    """

    outcome: Outcome
    reason: Reason
    step: str
    peer: str
    detail: str = ''
    retry_after_ms: int | None = None
