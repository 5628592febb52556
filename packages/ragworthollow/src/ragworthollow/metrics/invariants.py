"""Check invariants at run time."""

from ragworthollow.logs.events import log_error
from ragworthollow.metrics.registry import Metrics


class InvariantMonitor:
    """
    Count and log violations instead of terminating the process.

    Parameters
    ----------
    metrics : Metrics
        Metrics that count the violations.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self.violations = 0

    def require(
        self,
        *,
        holds: bool,
        invariant: str,
        step: str,
        peer: str,
        detail: str = '',
    ) -> bool:
        """
        Check one invariant.

        Parameters
        ----------
        holds : bool
            Whether the invariant holds.
        invariant : str
            Stable name of the invariant, as in docs/internals/guarantees.md.
        step, peer : str
            Step and peer to which the check belongs.
        detail : str
            Observed state that violates the invariant.

        Returns
        -------
        bool
            Value of `holds`, so that the caller can abort the operation.
        """
        if not holds:
            self.violations += 1
            self._metrics.count_violation(invariant)
            log_error(
                'invariant_violated',
                invariant=invariant,
                step=step,
                peer=peer,
                detail=detail,
            )
        return holds
