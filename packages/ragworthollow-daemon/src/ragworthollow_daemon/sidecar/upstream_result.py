"""Define the result of a call to the upstream."""

import msgspec

from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.utils.message import Message


class UpstreamResult(Message):
    """
    Hold the result of one call to the upstream.

    Attributes
    ----------
    outcome : Outcome
        Whether the call ran, as far as known.
    output : Raw
        Output as JSON if the outcome is `done`.
    reason : Reason or None
        Why the outcome is not `done`.
    detail : str
        Description of the failure in one sentence.
    """

    outcome: Outcome
    output: msgspec.Raw = msgspec.Raw(b'null')
    reason: Reason | None = None
    detail: str = ''
