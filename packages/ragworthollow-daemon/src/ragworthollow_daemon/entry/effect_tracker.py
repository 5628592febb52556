"""Track the possible effects of a request's attempts."""

from ragworthollow.configuration import Stage
from ragworthollow.outcomes import Outcome
from ragworthollow.transport import StageAnswer


class EffectTracker:
    """Determine the outcome of a request that has no complete answer."""

    def __init__(self) -> None:
        self._has_run = False
        self._may_have_run = False
        self._effect_is_unknown = False

    def record(self, stage: Stage, answer: StageAnswer) -> None:
        """
        Record the result of one attempt.

        Parameters
        ----------
        stage : Stage
            Stage that the attempt ran.
        answer : StageAnswer
            Answer that ended the attempt.
        """
        if answer.outcome is Outcome.not_run:
            return
        if answer.outcome is Outcome.unknown:
            self._may_have_run = True
        else:
            self._has_run = True
        if not stage.repeatable:
            self._effect_is_unknown = True

    def get_outcome(self, last: Outcome) -> Outcome:
        """
        Return the outcome of the whole request.

        Parameters
        ----------
        last : Outcome
            Outcome of the last attempt.

        Returns
        -------
        Outcome
            `not_run` only when no attempt has reached an upstream.
        """
        if self._effect_is_unknown:
            return last if last is not Outcome.not_run else Outcome.unknown
        if last is Outcome.unknown:
            return Outcome.unknown
        if self._has_run:
            return Outcome.failed
        return Outcome.unknown if self._may_have_run else last

    def is_safe_to_retry(self) -> bool:
        """Return whether no non-repeatable stage may have taken effect."""
        return not self._effect_is_unknown
