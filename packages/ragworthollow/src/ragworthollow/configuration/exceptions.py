"""Define the error for a configuration that was not accepted."""

from dataclasses import dataclass, field

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.outcomes import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationError:
    """
    Explain why a snapshot or a change was refused.

    Attributes
    ----------
    reason : Reason
        Machine-readable reason of the refusal.
    step, peer : str
        Step and process where the error occurred.
    detail : str
        Explanation in one sentence.
    problems : tuple of CheckMessage
        Findings of the checks, if these caused the refusal.
    """

    reason: Reason
    step: str
    peer: str
    detail: str
    problems: tuple[CheckMessage, ...] = field(default=())
