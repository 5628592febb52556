"""Define what callers send and receive."""

import msgspec

from ragworthollow.outcomes import Outcome, Refusal
from ragworthollow.utils.message import Message, StrictMessage


class PipelineRequest(StrictMessage):
    """
    Ask for one run of a pipeline.

    Attributes
    ----------
    deadline_ms : float
        Time the caller waits at most, a duration.
    inputs : dict
        Input of each stage, by its name; stages without one get none.
    stream : bool
        Whether tokens are sent as they are generated.
    """

    deadline_ms: float
    inputs: dict[str, msgspec.Raw]
    stream: bool = False


class PipelineAnswer(Message, omit_defaults=False):
    """
    Answer a request, whole or not at all.

    Attributes
    ----------
    request_id : str
        Identifier of this request in every log.
    outcome : Outcome
        `done`, or what is known instead.
    answer : dict
        Output of each stage, by its name; only when `done`.
    refusal : Refusal or None
        Present when there is no whole answer.
    safe_to_retry : bool
        Whether asking again cannot repeat the effect of a non-repeatable
        stage: with the same idempotency key it never does; without one only
        when this is true.
    replayed : bool
        Whether the answer was kept from an earlier request of the same key.
    elapsed_ms : float
        Time spent here.
    """

    request_id: str
    outcome: Outcome
    answer: dict[str, msgspec.Raw] = {}
    refusal: Refusal | None = None
    safe_to_retry: bool = True
    replayed: bool = False
    elapsed_ms: float = 0


class TokenEvent(Message):
    """
    Carry one token to the caller.

    Attributes
    ----------
    stage : str
        Stage that generates.
    offset : int
        Position of the token, from 0, without gaps or repeats.
    token : str
        Its text.
    """

    stage: str
    offset: int
    token: str
