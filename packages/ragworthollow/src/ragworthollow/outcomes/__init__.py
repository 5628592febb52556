"""Name how an attempt can end and why it was refused."""

from ragworthollow.outcomes.outcome import Outcome
from ragworthollow.outcomes.reason import Reason
from ragworthollow.outcomes.refusal import Refusal

__all__ = ('Outcome', 'Reason', 'Refusal')
