"""Define why a call got no slot."""

from dataclasses import dataclass

from ragworthollow.outcomes import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRefusal:
    """
    Refuse a call that was never handed to the upstream.

    Attributes
    ----------
    reason : Reason
        Why.
    retry_after_ms : int
        When coming back is worth it.
    """

    reason: Reason
    retry_after_ms: int
