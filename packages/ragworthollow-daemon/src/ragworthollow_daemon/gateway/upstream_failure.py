"""Define why an attempt or a request has no response."""

from dataclasses import dataclass

from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.transport.exchange import Exchange


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamFailure:
    """
    Describe why there is no response, and whether the request may have run.

    Attributes
    ----------
    outcome : Outcome
        `not_run` when it is proved that nothing ran and nothing will.
    reason : Reason
        Cause, as counted in the metrics.
    step, peer : str
        Step at which the failure occurred, and the peer that failed.
    detail : str
        One human-readable sentence.
    retry_after_ms : float or None
        Time after which a retry is useful; None when that is not known.
    exchange : Exchange or None
        Where the response that failed came from; None without a response.
    """

    outcome: Outcome
    reason: Reason
    step: str
    peer: str
    detail: str = ''
    retry_after_ms: float | None = None
    exchange: Exchange | None = None

    def describe_exchange(self) -> dict[str, object]:
        """Return log fields on the response that failed."""
        return {} if self.exchange is None else self.exchange.describe()
