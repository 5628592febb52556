"""Define the status and membership messages between gateways."""

from ragworthollow.balancing.engine_report import EngineReport
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.quarantine.evidence_update import EvidenceUpdate
from ragworthollow.replica.store_update import StoreUpdate
from ragworthollow.throttling.limit_update import LimitUpdate
from ragworthollow.utils.message import Message

PING_PATH = '/v1/ping'
CHANGE_PATH = '/v1/members/change'
STREAM_ORIGIN_PATH = '/v1/streams/origin'


class GatewayPing(Message):
    """
    Check whether a host is alive, and announce work expected for it.

    Attributes
    ----------
    instance : str
        Name of the gateway that sends the ping.
    incarnation : str
        Incarnation of that gateway.
    announced : dict
        Number of pieces that its requests will need later, by pool and
        priority.
    store_revision, store_timeline : int
        Last revision of the store that it knows, and the restore count of the
        store at that revision.
    evidence : EvidenceUpdate, optional
        Its evidence of crashes.
    leaving_ages_ms : dict of str to float
        Milliseconds since instances reported that they are shutting down, by
        incarnation.
    named_limits : dict of str to LimitUpdate
        Limits that instances have advertised, by incarnation.
    engines : dict of str to EngineReport, optional
        Its requests at engines, by incarnation; None unless it asks for those
        of the other gateways.
    """

    instance: str
    incarnation: str
    announced: dict[str, list[int]] = {}
    store_revision: int = 0
    store_timeline: int = 0
    evidence: EvidenceUpdate | None = None
    leaving_ages_ms: dict[str, float] = {}
    named_limits: dict[str, LimitUpdate] = {}
    engines: dict[str, EngineReport] | None = None


class HostState(Message):
    """
    Report that a gateway is alive and how busy its schedulers are.

    Attributes
    ----------
    can_host : bool
        Whether it knows the upstream instances. A gateway that starts while
        the store is unavailable does not, and pieces would wait there until
        the store is available again.
    instance : str
        Name of the gateway.
    is_leaving : bool
        Whether it is shutting down: it finishes work in progress and accepts
        no more.
    waits_ms : dict
        Expected waits of a new piece, by pool and priority; None where no
        instance of the pool accepts work.
    short_of_space : tuple of str
        Hosted pools whose throughput is limited by space for results.
    store : StoreUpdate, optional
        Its update on the store; None before its first read.
    evidence : EvidenceUpdate, optional
        Its evidence of crashes.
    leaving_ages_ms : dict of str to float
        Milliseconds since instances reported that they are shutting down, by
        incarnation.
    named_limits : dict of str to LimitUpdate
        Limits that instances have advertised, by incarnation.
    engines : dict of str to EngineReport, optional
        Requests of all other gateways at engines, by incarnation.
    """

    instance: str
    can_host: bool = True
    is_leaving: bool = False
    waits_ms: dict[str, list[float | None]] = {}
    short_of_space: tuple[str, ...] = ()
    store: StoreUpdate | None = None
    evidence: EvidenceUpdate | None = None
    leaving_ages_ms: dict[str, float] = {}
    named_limits: dict[str, LimitUpdate] = {}
    engines: dict[str, EngineReport] | None = None


class StreamOriginQuery(Message):
    """Ask what began a stream, by its first attempt."""

    request_id: str


class StreamOriginAnswer(Message):
    """
    Tell what began a stream.

    Attributes
    ----------
    is_known : bool
        Whether the gateway has relayed the stream.
    software_version : str, optional
        The version; None if it is not certain.
    instance : str
        Instance that generated the first event.
    pool : str
        Pool of that instance; empty if it is not known.
    age_ms, left_ms : float
        Milliseconds since the first event, and until the record expires.
    """

    is_known: bool = False
    software_version: str | None = None
    instance: str = ''
    pool: str = ''
    age_ms: float = 0
    left_ms: float = 0


class MemberChange(Message):
    """Notify the other gateways that one joins or leaves."""

    member: GatewayMember
