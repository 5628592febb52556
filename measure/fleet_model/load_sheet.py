"""Define the schema of a deployment, its load and its faults."""

from dataclasses import dataclass

from ragworthollow.routes import PieceProfile
from ragworthollow.utils.message import StrictMessage


class StagePoolSheet(StrictMessage):
    """
    Describe the instances of a stage pool.

    Attributes
    ----------
    instances : int
        Number of instances, assigned to failure domains round robin.
    batch : int
        Maximum number of pieces in a call.
    call_ms, piece_ms : float
        Fixed time of a call, and additional time per piece.
    room_bytes : int
        Space for results on each instance.
    kept_ms : float
        Time to live of a result that is not released.
    """

    instances: int
    batch: int
    call_ms: float
    piece_ms: float
    room_bytes: int
    kept_ms: float

    def make_profile(self) -> PieceProfile:
        """Return the piece profile of the pool, as configured."""
        return PieceProfile(
            concurrency=1,
            batch_limit=self.batch,
            call_ms=self.call_ms,
            piece_ms=self.piece_ms,
            result_space_bytes=self.room_bytes,
            result_ttl_ms=self.kept_ms,
        )


class EngineSheet(StrictMessage):
    """
    Describe the model engines.

    Attributes
    ----------
    instances : int
        Number of instances.
    slots : int
        Maximum number of concurrent requests on an engine.
    prompt_tokens_per_ms : float
        Speed of reading a prompt.
    first_ms : float
        Time to the first event after the prompt was read.
    step_ms, step_ms_per_request : float
        Time per output token, and additional time per running request.
    cache_tokens : int
        Capacity of the prompt cache of an engine.
    """

    instances: int
    slots: int
    prompt_tokens_per_ms: float
    first_ms: float
    step_ms: float
    step_ms_per_request: float
    cache_tokens: int


class StageSheet(StrictMessage):
    """
    Describe one stage of a kind of request.

    Attributes
    ----------
    pool : str
        Pool that runs the stage.
    after : tuple of int
        Positions of the stages whose results it reads.
    pieces : float
        Mean number of pieces per request.
    most : int
        Maximum number of pieces; if equal to the mean, the number is fixed.
    share : float
        Fraction of the requests that have the stage.
    result_bytes : int
        Size of one result.
    work_share : float
        Time of a piece as a fraction of `piece_ms` of the pool.
    """

    pool: str
    pieces: float
    most: int
    result_bytes: int
    after: tuple[int, ...] = ()
    share: float = 1
    work_share: float = 1


class KindSheet(StrictMessage):
    """
    Describe a kind of request.

    Attributes
    ----------
    rate : float
        Requests per second without bursts.
    objective_ms, timeout_ms : float
        Latency objective of the first event, and timeout of callers.
    priority : int
        Priority; 0 is the highest.
    worth, late_worth : float
        Worth of a response in time, and of a late response.
    shared_tokens, own_tokens, output_tokens : int
        Shared prompt tokens, mean number of prompt tokens that are not
        shared, and generated tokens.
    subjects : int
        Number of distinct shared prompts.
    stages : tuple of StageSheet
        Stages that run before the engine.
    """

    rate: float
    objective_ms: float
    timeout_ms: float
    priority: int
    worth: float
    late_worth: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    subjects: int
    stages: tuple[StageSheet, ...] = ()


class LoadSheet(StrictMessage):
    """
    Describe a deployment and its load.

    Attributes
    ----------
    gateways : int
        Number of gateways.
    failure_domains : tuple of str
        Failure domains, assigned to gateways and instances round robin.
    one_way_ms : float
        One-way network latency between two processes.
    caller_ms : float
        One-way network latency between callers and gateways.
    engine : EngineSheet
        The model engines.
    pools : dict
        Stage pools by name.
    kinds : dict
        Request kinds by name.
    scarce_result_space : bool
        Whether gateways have to save space for results.
    """

    gateways: int
    failure_domains: tuple[str, ...]
    one_way_ms: float
    caller_ms: float
    engine: EngineSheet
    pools: dict[str, StagePoolSheet]
    kinds: dict[str, KindSheet]
    scarce_result_space: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Pattern:
    """
    Describe the bursts and faults of a day.

    Attributes
    ----------
    name : str
        Name in tables.
    bursts : tuple of Burst
        Intervals with a higher request rate.
    lost : tuple of LostInstance
        Stage instances that are lost for an interval.
    slow : tuple of SlowInstance
        Stage instances that are slow for an interval.
    gateway_fault : GatewayFault or None
        Fault of the gateway that hosts the scheduler of the first pool.
    all_killed : GatewayFault or None
        Fault that kills all gateways; they restart without state.
    """

    name: str
    bursts: tuple['Burst', ...] = ()
    lost: tuple['LostInstance', ...] = ()
    slow: tuple['SlowInstance', ...] = ()
    gateway_fault: 'GatewayFault | None' = None
    all_killed: 'GatewayFault | None' = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Burst:
    """Multiply the rate of a kind, or of all if empty, by `factor`."""

    kind: str
    start_ms: float
    end_ms: float
    factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LostInstance:
    """Describe when an instance of a pool is lost."""

    pool: str
    number: int
    start_ms: float
    end_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SlowInstance:
    """Describe when an instance of a pool takes `factor` times as long."""

    pool: str
    number: int
    start_ms: float
    end_ms: float
    factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayFault:
    """
    Describe a fault of the busiest host, or of all gateways.

    Attributes
    ----------
    kind : str
        `kill`, `freeze` or `cut` (the other gateways are unreachable).
    start_ms, end_ms : float
        Start and end of the fault.
    """

    kind: str
    start_ms: float
    end_ms: float
