"""Define one upstream instance as its list entry shows it."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamInstance:
    """
    Describe one incarnation of an upstream.

    Attributes
    ----------
    instance : str
        Identifier; one that starts again may keep it.
    pool : str
        Pool that it belongs to.
    address : str
        Where it listens, `IP:PORT`; another pool may use it later.
    failure_domain : str
        Where it runs.
    slots : int
        Requests that it works on at a time.
    is_leaving : bool
        Whether it has announced that it will stop.
    started_unix_ms : int
        When it started, which tells its incarnations apart; 0 when its entry
        does not say.
    region : str
        Region of its failure domain; empty when that is not known.
    warm_up_left_ms : float
        How much longer it warmed up when its entry was written.
    """

    instance: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    started_unix_ms: int = 0
    region: str = ''
    warm_up_left_ms: float = 0

    def get_incarnation(self) -> str:
        """Return a name that no other start of any instance has."""
        return f'{self.instance}@{self.started_unix_ms}'

    def is_same_incarnation(self, other: 'UpstreamInstance') -> bool:
        """Tell whether another entry shows the same start of an instance."""
        return (self.instance, self.started_unix_ms) == (
            other.instance,
            other.started_unix_ms,
        )
