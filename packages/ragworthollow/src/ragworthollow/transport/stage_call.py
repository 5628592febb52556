"""Define the call by which an entry runs a stage on a sidecar."""

import msgspec

from ragworthollow.configuration.stage import StageKind
from ragworthollow.transport.once_key import OnceKey
from ragworthollow.utils.message import Message


class StageCall(Message):
    """
    Request that a sidecar run one stage on its upstream.

    Attributes
    ----------
    request_id : str
        Identifier of the caller's request.
    stage : str
        Name of the stage.
    attempt : int
        Number of this attempt; the answer echoes it.
    remaining_ms : float
        Milliseconds until the deadline; a duration, so that clocks need not
        agree.
    organisation, pipeline : str
        Organisation of the caller and name of the pipeline.
    kind : StageKind
        Kind of work for the upstream.
    pool : str
        Pool that the sidecar belongs to, as known to the entry.
    operation, model, adapter : str
        Parameters of plain and generating stages.
    max_tokens, resume_offset : int
        Length of a generation and the offset from which to resume it.
    worth : float
        Worth of the request.
    cost_ms : float
        Estimated milliseconds that this and all later stages take.
    once : OnceKey or None
        Present when the stage may run at most once.
    earlier : dict
        Outputs of earlier stages, stored with the result of a
        non-repeatable call.
    payload : Raw
        Input of the stage as JSON.
    """

    request_id: str
    stage: str
    attempt: int
    remaining_ms: float
    organisation: str
    pipeline: str
    kind: StageKind
    pool: str
    payload: msgspec.Raw
    operation: str = ''
    model: str = ''
    adapter: str = ''
    max_tokens: int = 0
    resume_offset: int = 0
    worth: float = 1.0
    cost_ms: float = 0
    once: OnceKey | None = None
    earlier: dict[str, msgspec.Raw] = {}
