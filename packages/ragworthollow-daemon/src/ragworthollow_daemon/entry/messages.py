"""Define the messages between callers and the entry."""

import msgspec

from ragworthollow.outcomes import Outcome, Refusal
from ragworthollow.utils.message import Message, StrictMessage


class PipelineRequest(StrictMessage):
    """
    Request one run of a pipeline.

    Attributes
    ----------
    deadline_ms : float
        Longest time the caller waits, as a duration in milliseconds.
    inputs : dict
        Input of each stage by stage name; may omit stages without input.
    stream : bool
        Whether to send tokens as they are generated.
    """

    deadline_ms: float
    inputs: dict[str, msgspec.Raw]
    stream: bool = False


class PipelineAnswer(Message, omit_defaults=False):
    """
    Answer a request with either a complete result or a refusal.

    Attributes
    ----------
    request_id : str
        Identifier of this request in every log.
    outcome : Outcome
        `done`, or what is known of the effects.
    answer : dict
        Output of each stage by stage name; only when `done`.
    refusal : Refusal or None
        Present when there is no complete result.
    safe_to_retry : bool
        Whether a retry without an idempotency key cannot repeat the effect
        of a non-repeatable stage. A retry with the same key never does.
    replayed : bool
        Whether the answer was stored by an earlier request with the same
        key.
    elapsed_ms : float
        Milliseconds that the entry spent on the request.
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
        Stage that generated the token.
    offset : int
        Position of the token, from 0, without gaps or repeats.
    token : str
        Text of the token.
    """

    stage: str
    offset: int
    token: str
