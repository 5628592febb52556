"""Define how a call to the upstream ended."""

import msgspec

from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.utils.message import Message


class UpstreamResult(Message):
    """
    Hold the end of one call to the upstream.

    Attributes
    ----------
    outcome : Outcome
        What is known of its effect.
    output : Raw
        Output as JSON when `done`.
    reason : Reason or None
        Why it is not `done`.
    detail : str
        One sentence.
    """

    outcome: Outcome
    output: msgspec.Raw = msgspec.Raw(b'null')
    reason: Reason | None = None
    detail: str = ''
