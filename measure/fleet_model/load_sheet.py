"""Define what a deployment has and what is asked of it."""

from dataclasses import dataclass

from ragworthollow.routes import PieceProfile
from ragworthollow.utils.message import StrictMessage


class StagePoolSheet(StrictMessage):
    """
    Describe the instances of a stage pool.

    Attributes
    ----------
    instances : int
        How many; they are spread over the failure domains in turn.
    batch : int
        Most pieces of one call.
    call_ms, piece_ms : float
        Time of a call, and of each of its pieces.
    room_bytes : int
        Space for results at one instance.
    kept_ms : float
        How long a result is kept that nobody frees.
    """

    instances: int
    batch: int
    call_ms: float
    piece_ms: float
    room_bytes: int
    kept_ms: float

    def make_profile(self) -> PieceProfile:
        """Return what the configuration would say of the pool."""
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
        How many.
    slots : int
        Requests that one works on at a time.
    prompt_tokens_per_ms : float
        How fast a prompt is read.
    first_ms : float
        Time to the first event beside the prompt.
    step_ms, step_ms_per_request : float
        Time of an output token, and what each running request adds.
    cache_tokens : int
        Prompt tokens that one keeps.
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
        Pool that makes it.
    after : tuple of int
        Positions of the stages that it reads.
    pieces : float
        Mean number of pieces.
    most : int
        Most pieces; equal to the mean for a fixed number.
    share : float
        Part of the requests that have the stage.
    result_bytes : int
        Size of one result.
    work_share : float
        Time of a piece as a share of the pool's.
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
        Requests a second on a calm day.
    objective_ms, timeout_ms : float
        Latency objective of the first event, and the callers' patience.
    priority : int
        Rank, 0 first.
    worth, late_worth : float
        What an answer in time, and a late one, is worth.
    shared_tokens, own_tokens, output_tokens : int
        Mean prompt tokens that requests share and that are their own, and
        tokens generated.
    subjects : int
        How many shared prompts there are.
    stages : tuple of StageSheet
        Work before the engine.
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
        How many.
    failure_domains : tuple of str
        Where gateways and instances run, in turn.
    one_way_ms : float
        Network time between two processes.
    caller_ms : float
        Network time between callers and gateways.
    engine : EngineSheet
        The model engines.
    pools : dict
        Stage pools by name.
    kinds : dict
        Kinds of requests by name.
    """

    gateways: int
    failure_domains: tuple[str, ...]
    one_way_ms: float
    caller_ms: float
    engine: EngineSheet
    pools: dict[str, StagePoolSheet]
    kinds: dict[str, KindSheet]


@dataclass(frozen=True, kw_only=True, slots=True)
class Pattern:
    """
    Describe what happens on a day.

    Attributes
    ----------
    name : str
        For tables.
    bursts : tuple of Burst
        When more requests come.
    lost : tuple of LostInstance
        Stage instances that vanish for a while.
    slow : tuple of SlowInstance
        Stage instances that turn slow for a while.
    gateway_fault : GatewayFault or None
        What befalls the first host of a gate.
    all_killed : GatewayFault or None
        When all gateways are killed, and back without their memory.
    """

    name: str
    bursts: tuple['Burst', ...] = ()
    lost: tuple['LostInstance', ...] = ()
    slow: tuple['SlowInstance', ...] = ()
    gateway_fault: 'GatewayFault | None' = None
    all_killed: 'GatewayFault | None' = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Burst:
    """Say when a kind (all of them: empty) comes `factor` times as often."""

    kind: str
    start_ms: float
    end_ms: float
    factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LostInstance:
    """Say when one instance of a pool is gone."""

    pool: str
    number: int
    start_ms: float
    end_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class SlowInstance:
    """Say when one instance of a pool takes `factor` times as long."""

    pool: str
    number: int
    start_ms: float
    end_ms: float
    factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayFault:
    """
    Say what befalls the gateway that hosts the busiest gate.

    Attributes
    ----------
    kind : str
        `kill`, `freeze` or `cut` (it cannot reach the other gateways).
    start_ms, end_ms : float
        From when to when.
    """

    kind: str
    start_ms: float
    end_ms: float
