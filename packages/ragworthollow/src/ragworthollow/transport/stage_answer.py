"""Define the answer of a sidecar to a stage call."""

import msgspec

from ragworthollow.outcomes import Outcome, Reason, Refusal
from ragworthollow.transport.load_report import LoadReport
from ragworthollow.transport.stage_call import StageCall
from ragworthollow.utils.message import Message


class StageAnswer(Message):
    """
    Answer one attempt at a stage.

    Attributes
    ----------
    request_id, stage, attempt
        Echoed from the call; an answer that does not match is rejected.
    outcome : Outcome
        How the attempt ended.
    output : Raw
        Output of the stage as JSON when `done`.
    refusal : Refusal or None
        Present for every other outcome.
    load : LoadReport
        Load at the time of the answer.
    busy_ms : float
        Milliseconds that the upstream spent on this attempt.
    replayed : bool
        Whether the result was stored by an earlier attempt with the same
        key.
    earlier : dict
        Outputs of earlier stages that belong to a replayed result.
    generation : int
        Active configuration generation of the sidecar.
    """

    request_id: str
    stage: str
    attempt: int
    outcome: Outcome
    output: msgspec.Raw = msgspec.Raw(b'null')
    refusal: Refusal | None = None
    load: LoadReport = LoadReport()
    busy_ms: float = 0
    replayed: bool = False
    earlier: dict[str, msgspec.Raw] = {}
    generation: int = 0


def refuse(
    call: StageCall,
    *,
    outcome: Outcome,
    reason: Reason,
    peer: str,
    detail: str = '',
    retry_after_ms: int | None = None,
) -> StageAnswer:
    """
    Build the answer to an attempt without a complete result.

    Parameters
    ----------
    call : StageCall
        Call of the attempt.
    outcome : Outcome
        What is known about the effect of the attempt.
    reason : Reason
        Reason code.
    peer : str
        Instance at which the refusal arose.
    detail : str
        Human-readable explanation in one sentence.
    retry_after_ms : int or None
        Milliseconds after which a retry may succeed.

    Returns
    -------
    StageAnswer
        Answer with a refusal that names the step and the peer.
    """
    return StageAnswer(
        request_id=call.request_id,
        stage=call.stage,
        attempt=call.attempt,
        outcome=outcome,
        refusal=Refusal(
            outcome=outcome,
            reason=reason,
            step=call.stage,
            peer=peer,
            detail=detail,
            retry_after_ms=retry_after_ms,
        ),
    )
