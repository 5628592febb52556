"""Define what an upstream's answer says beside its body."""

from dataclasses import dataclass

from ragworthollow.upstreams.instance_load import InstanceLoad


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerMarks:
    """
    Hold the marks of one answer.

    Attributes
    ----------
    request_id : str
        Request that the answer belongs to, as the upstream says.
    is_signed : bool
        Whether the upstream has signed it.
    is_not_run : bool
        Whether it proves that the request has not run and will not.
    is_misdirected : bool
        Whether another incarnation listens at the address.
    load : InstanceLoad or None
        Load of the upstream.
    is_leaving : bool
        Whether the upstream has begun to stop.
    pause_ms : float or None
        For how long the upstream wants nothing from this process.
    warm_up_left_ms : float
        How much longer the upstream warms up; 0 where it does not say.
    limit_per_s : float or None
        Requests a second that the upstream takes from all gateways together;
        None where it names no limit.
    unreadable_limit : str
        What stands where a limit should, if that is no limit.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool = False
    load: InstanceLoad | None = None
    is_leaving: bool = False
    pause_ms: float | None = None
    warm_up_left_ms: float = 0
    limit_per_s: float | None = None
    unreadable_limit: str = ''
