"""Define the error that every hop answers with."""

from ragworthollow.outcomes.outcome import Outcome
from ragworthollow.outcomes.reason import Reason
from ragworthollow.utils.message import Message


class Refusal(Message):
    """
    Say that an attempt or a request has no whole answer.

    Attributes
    ----------
    outcome : Outcome
        Never `done`.
    reason : Reason
        Why, as counted in the metrics.
    step : str
        Stage or internal step at which it arose.
    peer : str
        Instance that said so, or that did not answer.
    detail : str
        One sentence for a person; holds no caller's key.
    retry_after_ms : int or None
        When coming back is worth it; None when it never is.
    """

    outcome: Outcome
    reason: Reason
    step: str
    peer: str
    detail: str = ''
    retry_after_ms: int | None = None
