"""Define an upstream instance as described by its list entry."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamInstance:
    """
    Describe one incarnation (process lifetime) of an upstream.

    Attributes
    ----------
    instance : str
        Identifier; an instance that restarts may keep it.
    pool : str
        Pool that the instance belongs to.
    address : str
        Listening address, `IP:PORT`; may later be reused by another pool.
    failure_domain : str
        Failure domain in which the instance runs.
    slots : int
        Requests that the instance can process concurrently.
    is_leaving : bool
        Whether the instance has announced its shutdown.
    started_unix_ms : int
        Start time, which distinguishes incarnations; 0 if the entry does not
        state it.
    region : str
        Region of the failure domain; empty if unknown.
    warm_up_remaining_ms : float
        Remaining warm-up time when the entry was written.
    software_version : str
        Version of its software; what two versions generate does not fit
        together.  Versions have no order.
    """

    instance: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
    started_unix_ms: int = 0
    region: str = ''
    warm_up_remaining_ms: float = 0
    software_version: str = ''

    def get_incarnation(self) -> str:
        """Return an identifier that is unique to this incarnation."""
        return f'{self.instance}@{self.started_unix_ms}'

    def is_same_incarnation(self, other: 'UpstreamInstance') -> bool:
        """Return whether another entry describes the same incarnation."""
        return (self.instance, self.started_unix_ms) == (
            other.instance,
            other.started_unix_ms,
        )
