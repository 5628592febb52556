"""Define the configuration of a fleet simulation."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class Trouble:
    """
    Inject a fault into some gateways for a limited time.

    Attributes
    ----------
    kind : str
        `cut` (no network), `frozen` (process suspended), `refused` (the store
        refuses its calls) or `slow` (the store responds slowly).
    start_ms, end_ms : int
        Start (inclusive) and end (exclusive) of the fault, in milliseconds.
    gateways : frozenset of int
        Numbers of the affected gateways.
    """

    kind: str
    start_ms: int
    end_ms: int
    gateways: frozenset[int]


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetPlan:
    """
    Configure a fleet, its load and the injected faults.

    Attributes
    ----------
    gateways : int
        Number of gateways.
    sources : str
        Gateways that the others ping for updates: `none`, `hosts` (the same
        few for all) or `domains` (two of their own failure domain).
    bound_ms : int
        Time within which a change has to be active at every gateway, in
        milliseconds.
    heartbeat_ms : int
        Interval of the heartbeats of instances, in milliseconds.
    changes_ms : tuple of int
        Times at which a key of the store is written, in milliseconds.
    change_bytes : int
        Size of each written value, in bytes.
    bytes_per_s : float
        Bandwidth of the link from the store to each gateway.
    troubles : tuple of Trouble
        Faults to inject into gateways.
    store_moves : tuple of tuple of int and str
        Faults to inject into the store: time in milliseconds and name of the
        `StoreSession` method to call.
    end_ms : int
        End of the simulation, in milliseconds.
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
