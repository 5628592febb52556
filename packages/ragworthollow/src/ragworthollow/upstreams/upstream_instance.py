"""Define one upstream instance as its list entry shows it."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class UpstreamInstance:
    """
    Describe one incarnation of an upstream.

    Attributes
    ----------
    instance : str
        Identifier of this incarnation; a restart makes a new one.
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
    """

    instance: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool = False
