"""Define the state of an engine from which it is chosen."""

from dataclasses import dataclass

from ragworthollow.upstreams import UpstreamInstance


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineState:
    """
    Hold what a gateway knows of an engine.

    Attributes
    ----------
    instance : UpstreamInstance
        The engine.
    requests : int
        Requests in progress there, as far as known.
    unread_tokens : int
        Prompt tokens of the requests that have no event yet.
    work_time_ratio : float or None
        Usual work time relative to that of other engines; None if unknown.
    current_work_time_ratio : float or None
        Work time at this moment; None without a report that is recent enough.
    """

    instance: UpstreamInstance
    requests: int = 0
    unread_tokens: int = 0
    work_time_ratio: float | None = None
    current_work_time_ratio: float | None = None
