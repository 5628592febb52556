"""Define a piece of a stage and its result."""

import enum
from dataclasses import dataclass

from ragworthollow.routes.allowed_regions import AllowedRegions


@dataclass(frozen=True, kw_only=True, slots=True)
class Piece:
    """
    Describe one piece (work item) of a stage of a request.

    Attributes
    ----------
    request_id : str
        Request that needs the piece.
    position : int
        Position of the stage in its route.
    number : int
        Number of the piece in its stage, from 0.
    key : str
        Key of the data that a stage without inputs reads.
    inputs : tuple of str
        Handles of all results that the stage reads.
    inputs_pool : str
        Pool whose space the inputs take and which is short of it; empty if the
        inputs stay until the stage is done.
    due_ms : float
        Latest start, on the monotonic clock, that still meets the objective
        of the request.
    give_up_ms : float
        Time after which the piece is given up if no work was spent on its
        request yet.
    expires_ms : float
        Time after which the result is no longer needed.
    result_bytes : int
        Approximate size of the result.
    failure_domain : str
        Preferred failure domain, which minimises traffic; empty for none.
    priority : int
        Priority of the request, 0 first.
    requester : str
        Incarnation of the gateway that handles the request.
    fingerprint : str
        Hash that is the same for each attempt at the same work; empty if
        unknown.
    allowed_regions : frozenset of str or None
        Regions in which the piece may be processed; None for any.
    """

    request_id: str
    position: int
    number: int
    key: str = ''
    inputs: tuple[str, ...] = ()
    inputs_pool: str = ''
    due_ms: float
    give_up_ms: float
    expires_ms: float
    result_bytes: int = 0
    failure_domain: str = ''
    priority: int = 0
    requester: str = ''
    fingerprint: str = ''
    allowed_regions: AllowedRegions | None = None


class PieceOutcome(enum.StrEnum):
    """Describe how the processing of a piece ended."""

    done = 'done'
    late = 'late'
    input_gone = 'input_gone'
    no_room = 'no_room'
    failed = 'failed'
    not_run = 'not_run'
    refused = 'refused'
    drained = 'drained'
    moved = 'moved'


@dataclass(frozen=True, kw_only=True, slots=True)
class PieceResult:
    """
    Hold the result of a piece, or the reason why there is none.

    Attributes
    ----------
    outcome : PieceOutcome
        Outcome of the piece.
    handle : str
        Handle by which upstreams know the result; empty if there is none.
    wait_ms : float
        Expected wait of a refused piece.
    """

    outcome: PieceOutcome
    handle: str = ''
    wait_ms: float = 0
