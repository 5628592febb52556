"""Keep account of what a request may have done so far."""

from ragworthollow.configuration import Stage
from ragworthollow.outcomes import Outcome
from ragworthollow.transport import StageAnswer


class EffectTracker:
    """Say truthfully what is known of a request that has no whole answer."""

    def __init__(self) -> None:
        self._has_run = False
        self._may_have_run = False
        self._effect_is_unknown = False

    def note(self, stage: Stage, answer: StageAnswer) -> None:
        """
        Take in the end of one attempt.

        Parameters
        ----------
        stage : Stage
            What was tried.
        answer : StageAnswer
            How it ended.
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
            Outcome of the attempt that ended it.

        Returns
        -------
        Outcome
            `not_run` only when no attempt at all has reached an upstream.
        """
        if self._effect_is_unknown:
            return last if last is not Outcome.not_run else Outcome.unknown
        if last is Outcome.unknown:
            return Outcome.unknown
        if self._has_run:
            return Outcome.failed
        return Outcome.unknown if self._may_have_run else last

    def is_safe_to_retry(self) -> bool:
        """Tell whether no non-repeatable stage may have had its effect."""
        return not self._effect_is_unknown
