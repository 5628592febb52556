"""Define the metadata of an upstream's response."""

from dataclasses import dataclass

from ragworthollow.upstreams.instance_load import InstanceLoad


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseMetadata:
    """
    Hold what one response says besides its body.

    Attributes
    ----------
    request_id : str
        Request that the response belongs to, according to the upstream.
    is_signed : bool
        Whether the upstream has signed the response.
    is_not_run : bool
        Whether the response proves that the request has not run and will not
        run.
    is_misdirected : bool
        Whether an incarnation other than the intended one listens at the
        address.
    is_valid : bool
        Whether all headers are valid, so that they can be passed on.
    load : InstanceLoad or None
        Load that the upstream reports; None if it reports none.
    is_leaving : bool
        Whether the upstream has begun to shut down.
    pause_ms : float or None
        How long the upstream asks this process to send no requests.
    warm_up_remaining_ms : float
        Remaining warm-up time of the upstream; 0 if it does not report one.
    limit_per_s : float or None
        Requests per second that the upstream accepts from all gateways
        together; None if it advertises no limit.
    unreadable_limit : str
        Text of the limit header if it cannot be parsed; empty otherwise.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool = False
    is_valid: bool = True
    load: InstanceLoad | None = None
    is_leaving: bool = False
    pause_ms: float | None = None
    warm_up_remaining_ms: float = 0
    limit_per_s: float | None = None
    unreadable_limit: str = ''
