"""Name the situations in which decisions are measured."""

from dataclasses import dataclass

SPAN_MS = 8000
CAPACITY_PER_S = 240


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """
    Describe one situation.

    Attributes
    ----------
    load : float
        Arrivals as a share of what the generating pool can serve.
    burst : float
        Load from 2 s to 4 s, 0 for none.
    slow, failing : int
        Instances at a tenth of the speed, and failing every call at once.
    lost : int
        Instances lost at 3 s.
    outage : bool
        Whether all of the pool fails from 2 s to 3 s.
    greedy : bool
        Whether one organisation sends ten times its share.
    lag_ms : float
        Age of load reports.
    cold_ms : float
        Added to a call whose prefix its instance has not seen.
    """

    name: str
    load: float = 0.7
    burst: float = 0
    slow: int = 0
    failing: int = 0
    lost: int = 0
    outage: bool = False
    greedy: bool = False
    lag_ms: float = 0
    cold_ms: float = 0


SCENARIOS = (
    Scenario(name='steady 70%'),
    Scenario(name='steady 100%', load=1),
    Scenario(name='twice capacity', load=2),
    Scenario(name='burst 200%', burst=2),
    Scenario(name='straggler', slow=1),
    Scenario(name='failing fast', failing=1),
    Scenario(name='domain lost', load=0.6, lost=2),
    Scenario(name='greedy neighbour', greedy=True),
    Scenario(name='retry storm', outage=True, load=0.9),
    Scenario(name='lagging 2 s', lag_ms=2000, load=0.9),
    Scenario(name='cold prefixes', cold_ms=60, load=0.6),
)
