"""Define a stage of a pipeline."""

import enum

from ragworthollow.utils.message import StrictMessage


class StageKind(enum.StrEnum):
    """Name what a stage asks of its upstream."""

    encode = 'encode'
    retrieve = 'retrieve'
    rerank = 'rerank'
    generate = 'generate'
    plain = 'plain'


class Stage(StrictMessage):
    """
    Describe one stage.

    Attributes
    ----------
    name : str
        Unique within its pipeline; names the stage's output in the answer.
    kind : StageKind
        What is asked of the upstream.
    pool : str
        Name of the pool that serves it.
    repeatable : bool
        Whether it may run more than once for one request.
    operation : str
        Operation of a plain service.
    model : str
        Model of a generating stage.
    adapter : str
        Adapter on that model, or empty.
    max_tokens : int
        Upper bound on what a generating stage writes.
    """

    name: str
    kind: StageKind
    pool: str
    repeatable: bool = True
    operation: str = ''
    model: str = ''
    adapter: str = ''
    max_tokens: int = 32
