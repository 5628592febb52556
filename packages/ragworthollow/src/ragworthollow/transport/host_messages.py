"""Define what gateways say to each other about themselves."""

from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.quarantine.evidence_update import EvidenceUpdate
from ragworthollow.replica.store_update import StoreUpdate
from ragworthollow.throttling.limit_update import LimitUpdate
from ragworthollow.utils.message import Message

PING_PATH = '/v1/ping'
CHANGE_PATH = '/v1/members/change'


class GatewayPing(Message):
    """
    Ask a host whether it lives, and announce work that will come to it.

    Attributes
    ----------
    instance : str
        Who asks.
    incarnation : str
        Which of its processes.
    announced : dict
        Pieces that its requests will need later, by pool and priority.
    store_revision, store_timeline : int
        Up to which it knows what the store holds, and how often the store had
        been restored by then.
    evidence : EvidenceUpdate, optional
        What it knows of crashes.
    leaving_ages_ms : dict of str to float
        How long ago instances said that they leave, by their incarnation.
    named_limits : dict of str to LimitUpdate
        What instances have said of their limits, by their incarnation.
    """

    instance: str
    incarnation: str
    announced: dict[str, list[int]] = {}
    store_revision: int = 0
    store_timeline: int = 0
    evidence: EvidenceUpdate | None = None
    leaving_ages_ms: dict[str, float] = {}
    named_limits: dict[str, LimitUpdate] = {}


class HostState(Message):
    """
    Say who is alive, and how busy its gates are.

    Attributes
    ----------
    can_host : bool
        Whether it knows the upstream instances; one that starts while the
        store is away does not, and pieces would wait there for its return.
    instance : str
        Name of the gateway.
    is_leaving : bool
        Whether it is stopping: it finishes what it has, and takes no more.
    waits_ms : dict
        Expected waits of a new piece, by pool and priority; None where no
        instance of the pool takes work.
    store : StoreUpdate, optional
        What it knows of the store; nothing before its first read.
    evidence : EvidenceUpdate, optional
        What it knows of crashes.
    leaving_ages_ms : dict of str to float
        How long ago instances said that they leave, by their incarnation.
    named_limits : dict of str to LimitUpdate
        What instances have said of their limits, by their incarnation.
    """

    instance: str
    can_host: bool = True
    is_leaving: bool = False
    waits_ms: dict[str, list[float | None]] = {}
    store: StoreUpdate | None = None
    evidence: EvidenceUpdate | None = None
    leaving_ages_ms: dict[str, float] = {}
    named_limits: dict[str, LimitUpdate] = {}


class MemberChange(Message):
    """Tell the other gateways that one joins or leaves."""

    member: GatewayMember
