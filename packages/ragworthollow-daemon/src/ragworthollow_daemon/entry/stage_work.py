"""Define the state of one stage of a request."""

from dataclasses import dataclass, field

import msgspec

from ragworthollow.configuration import Stage
from ragworthollow_daemon.entry.admitted_request import AdmittedRequest
from ragworthollow_daemon.entry.effect_tracker import EffectTracker


@dataclass(kw_only=True, slots=True)
class StageWork:
    """
    Track the attempts of one stage of a request.

    Attributes
    ----------
    request : AdmittedRequest
        Request that the stage belongs to.
    stage : Stage
        Definition of the stage.
    payload : Raw
        Input of the stage as JSON.
    earlier : dict
        Outputs of the preceding stages by stage name.
    later_ms, cost_ms : float
        Estimated milliseconds of the later stages, and of this stage and
        the later ones together.
    effects : EffectTracker
        Tracker of the effects of the whole request.
    attempts : int
        Number of attempts so far.
    busy_refusals : int
        Number of refusals by busy instances so far.
    tried : set of str
        Names of the instances that were already tried.
    tokens : list of str
        Tokens received so far; the next attempt resumes after them.
    """

    request: AdmittedRequest
    stage: Stage
    payload: msgspec.Raw
    earlier: dict[str, msgspec.Raw]
    later_ms: float
    cost_ms: float
    effects: EffectTracker
    attempts: int = 0
    busy_refusals: int = 0
    tried: set[str] = field(default_factory=set)
    tokens: list[str] = field(default_factory=list)

    def is_keyed_once(self) -> bool:
        """Return whether only the owner of the caller's key may run it."""
        return self.request.is_keyed() and not self.stage.repeatable

    def get_estimate_key(self) -> str:
        """Return the key under which estimates are stored."""
        return f'{self.request.pipeline_name}/{self.stage.name}'
