"""Define why an attempt or a request has no answer."""

from dataclasses import dataclass

from ragworthollow.outcomes import Outcome, Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamFailure:
    """
    Say why there is no answer, and what that proves.

    Attributes
    ----------
    outcome : Outcome
        `not_run` when it is proved that nothing ran and nothing will.
    reason : Reason
        Why, as counted in the metrics.
    step, peer : str
        Where it arose, and who failed.
    detail : str
        One sentence for a person.
    retry_after_ms : float or None
        When coming back is worth it, where that is known.
    """

    outcome: Outcome
    reason: Reason
    step: str
    peer: str
    detail: str = ''
    retry_after_ms: float | None = None
