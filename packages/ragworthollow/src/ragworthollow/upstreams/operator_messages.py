"""Define messages about instances that receive fewer requests."""

from ragworthollow.utils.message import Message

INSTANCES_PATH = '/instances'


class DrainedDomain(Message, omit_defaults=False):
    """
    Describe a drained failure domain.

    Attributes
    ----------
    failure_domain : str
        Name of the failure domain.
    drained_ms : float
        How long this gateway has sent no requests there.
    """

    failure_domain: str
    drained_ms: float


class WarmingInstance(Message, omit_defaults=False):
    """
    Describe an instance that is warming up.

    Attributes
    ----------
    instance, pool : str
        Names of the instance and of its pool.
    left_ms : float
        Remaining warm-up time.
    is_sender : bool
        Whether this gateway may send requests to the instance at all.
    burst : int or None
        Maximum requests that the instance may receive in one second from all
        gateways together; None for no limit.
    """

    instance: str
    pool: str
    left_ms: float
    is_sender: bool
    burst: int | None


class LimitedInstance(Message, omit_defaults=False):
    """
    Describe an instance that has advertised a rate limit.

    Attributes
    ----------
    instance, pool : str
        Names of the instance and of its pool.
    requests_per_s : float
        Requests per second that it accepts from all gateways together.
    named_age_ms : float
        Time since the instance last advertised the limit.
    is_sender : bool
        Whether this gateway may send requests to the instance at all.
    """

    instance: str
    pool: str
    requests_per_s: float
    named_age_ms: float
    is_sender: bool


class InstancesView(Message, omit_defaults=False):
    """
    Describe where a gateway limits its requests and what it has refused.

    Attributes
    ----------
    drained : tuple of DrainedDomain
        Failure domains that receive no requests.
    warming : tuple of WarmingInstance
        Instances that are warming up and receive a reduced rate.
    limited : tuple of LimitedInstance
        Instances that receive at most the rate that they advertise.
    refused : dict of str to int
        Requests that this gateway has refused for these reasons since its
        start, by reason.
    """

    drained: tuple[DrainedDomain, ...] = ()
    warming: tuple[WarmingInstance, ...] = ()
    limited: tuple[LimitedInstance, ...] = ()
    refused: dict[str, int] = {}
