"""Define the refusal of a call that got no slot."""

from dataclasses import dataclass

from ragworthollow.outcomes import Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class SlotRefusal:
    """
    Refuse a call that was never sent to the upstream.

    Attributes
    ----------
    reason : Reason
        Why no slot was granted.
    retry_after_ms : int
        Delay after which a retry may be admitted.
    """

    reason: Reason
    retry_after_ms: int
