"""Define a piece of a stage and what became of it."""

import enum
from dataclasses import dataclass

from ragworthollow.routes.homes import Homes


@dataclass(frozen=True, kw_only=True, slots=True)
class Piece:
    """
    Describe one piece of one stage of one request.

    Attributes
    ----------
    request_id : str
        Request that needs it.
    position : int
        Position of the stage in its route.
    number : int
        Number of the piece in its stage, from 0.
    key : str
        What a stage without inputs reads.
    inputs : tuple of str
        Handles of all results that the stage needs.
    due_ms : float
        Latest start, on the monotonic clock, with which the request still
        meets its objective.
    give_up_ms : float
        Time after which the piece is given up if nothing was spent on its
        request yet.
    expires_ms : float
        Time after which nobody waits for the result any more.
    result_bytes : int
        Approximate size of the result.
    failure_domain : str
        Where the result will be read; empty when that is not known.
    priority : int
        Rank of the request, 0 first.
    asker : str
        Incarnation of the gateway that has the request.
    fingerprint : str
        The same for each try of the same work; empty when that is not known.
    homes : frozenset of str or None
        Regions in which it may be made; None for any.
    """

    request_id: str
    position: int
    number: int
    key: str = ''
    inputs: tuple[str, ...] = ()
    due_ms: float
    give_up_ms: float
    expires_ms: float
    result_bytes: int = 0
    failure_domain: str = ''
    priority: int = 0
    asker: str = ''
    fingerprint: str = ''
    homes: Homes | None = None


class PieceOutcome(enum.StrEnum):
    """Say what became of a piece."""

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
    Hold a result, or why there is none.

    Attributes
    ----------
    outcome : PieceOutcome
        What became of the piece.
    handle : str
        Names the result towards upstreams; empty when there is none.
    wait_ms : float
        How long a refused piece would have waited.
    """

    outcome: PieceOutcome
    handle: str = ''
    wait_ms: float = 0
