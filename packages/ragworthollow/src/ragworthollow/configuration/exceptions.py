"""Define why a configuration was not taken."""

from dataclasses import dataclass, field

from ragworthollow.checks.check_message import CheckMessage
from ragworthollow.outcomes import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationError:
    """
    Say why a snapshot or a change was refused.

    Attributes
    ----------
    reason : Reason
        Kind of the refusal.
    step, peer : str
        Where it arose.
    detail : str
        One sentence.
    problems : tuple of CheckMessage
        Findings of the checks, if these refused it.
    """

    reason: Reason
    step: str
    peer: str
    detail: str
    problems: tuple[CheckMessage, ...] = field(default=())
