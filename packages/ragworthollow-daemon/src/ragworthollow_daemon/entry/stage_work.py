"""Define the work on one stage of a request."""

from dataclasses import dataclass, field

import msgspec

from ragworthollow.configuration import Stage
from ragworthollow_daemon.entry.admitted_request import AdmittedRequest
from ragworthollow_daemon.entry.effect_tracker import EffectTracker


@dataclass(kw_only=True, slots=True)
class StageWork:
    """
    Gather what one stage of a request has tried.

    Attributes
    ----------
    request : AdmittedRequest
        The request.
    stage : Stage
        The stage.
    payload : Raw
        Its input.
    earlier : dict
        Outputs of the stages before.
    later_ms, cost_ms : float
        Estimated time of the later stages, and of this one and them.
    effects : EffectTracker
        Account of the whole request.
    attempts : int
        Attempts made so far.
    busy_refusals : int
        Refusals of busy instances so far.
    tried : set of str
        Instances not to be tried again.
    tokens : list of str
        Tokens received so far; a further attempt resumes behind them.
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
        """Tell whether only the owner of the caller's key may run it."""
        return self.request.is_keyed() and not self.stage.repeatable

    def get_key(self) -> str:
        """Return the name under which estimates are kept."""
        return f'{self.request.pipeline_name}/{self.stage.name}'
