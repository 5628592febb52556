"""Define a stage of a pipeline."""

import enum

from ragworthollow.utils.message import StrictMessage


class StageKind(enum.StrEnum):
    """Select the kind of operation that a stage runs on its upstream."""

    encode = 'encode'
    retrieve = 'retrieve'
    rerank = 'rerank'
    generate = 'generate'
    plain = 'plain'


class Stage(StrictMessage):
    """
    Describe one stage of a pipeline.

    Attributes
    ----------
    name : str
        Name, unique within its pipeline; key of the stage's output in the
        response.
    kind : StageKind
        Kind of operation that the upstream runs.
    pool : str
        Name of the pool that serves it.
    repeatable : bool
        Whether it may run more than once for one request.
    operation : str
        Operation to call, for a stage of kind `plain`.
    model : str
        Model to use, for a stage of kind `generate`.
    adapter : str
        Adapter of that model, or empty.
    max_tokens : int
        Maximum number of tokens that a stage of kind `generate` produces.
    """

    name: str
    kind: StageKind
    pool: str
    repeatable: bool = True
    operation: str = ''
    model: str = ''
    adapter: str = ''
    max_tokens: int = 32
