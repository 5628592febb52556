"""Define the outcomes of an attempt and the reasons for a refusal."""

from ragworthollow.outcomes.outcome import Outcome
from ragworthollow.outcomes.reason import Reason
from ragworthollow.outcomes.refusal import Refusal

__all__ = ('Outcome', 'Reason', 'Refusal')
