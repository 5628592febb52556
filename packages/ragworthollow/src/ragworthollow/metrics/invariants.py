"""Assert invariants inside the running program."""

from ragworthollow.logs.events import log_error
from ragworthollow.metrics.registry import Metrics


class InvariantMonitor:
    """
    Count and log violations instead of ending the process.

    Parameters
    ----------
    metrics : Metrics
        Where violations are counted.
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
            Whether it holds.
        invariant : str
            Its stable name, as in docs/internals/guarantees.md.
        step, peer : str
            Where it was checked.
        detail : str
            What was seen.

        Returns
        -------
        bool
            `holds`, so that the caller can refuse to go on.
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
