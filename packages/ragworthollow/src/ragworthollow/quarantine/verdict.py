"""Define the verdict on a request or a prompt part."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """
    Quarantine a request, or the requests that have certain prompt parts.

    Attributes
    ----------
    release_ms : float
        End of the quarantine on the clock of the evidence.
    companions : frozenset of str
        Prompt parts that a request must have as well to be refused.
    """

    release_ms: float
    companions: frozenset[str] = frozenset()
