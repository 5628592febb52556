"""Define what is played."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class Trouble:
    """
    Befall some gateways for a while.

    Attributes
    ----------
    kind : str
        `cut` from everything, `frozen`, `refused` by the store or `slow`
        answers of the store.
    start_ms, end_ms : int
        When it holds.
    gateways : frozenset of int
        Whom it befalls, by number.
    """

    kind: str
    start_ms: int
    end_ms: int
    gateways: frozenset[int]


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetPlan:
    """
    Describe a fleet and what befalls it.

    Attributes
    ----------
    gateways : int
        How many there are.
    sources : str
        Whom gateways ask: `none`, `hosts` (the same few for all) or
        `domains` (two of their own failure domain).
    bound_ms : int
        In which a change has to be in force.
    heartbeat_ms : int
        Of instances.
    changes_ms : tuple of int
        When a key of the store is written.
    change_bytes : int
        Size of each value that is written.
    bytes_per_s : float
        What the link of each gateway carries from the store.
    troubles : tuple of Trouble
        What befalls whom.
    store_moves : tuple of tuple of int and str
        What befalls the store, and when: methods of its stand-in.
    end_ms : int
        When the play ends.
    """

    gateways: int
    sources: str = 'hosts'
    bound_ms: int = 4000
    heartbeat_ms: int = 1200
    changes_ms: tuple[int, ...] = ()
    change_bytes: int = 200
    bytes_per_s: float = float('inf')
    troubles: tuple[Trouble, ...] = ()
    store_moves: tuple[tuple[int, str], ...] = field(default=())
    end_ms: int = 24_000
