"""Define the settings of a gateway."""

from typing import Annotated, Literal

from msgspec import Meta

from ragworthollow.conf import global_settings
from ragworthollow.membership.host_capacity import compute_capacity
from ragworthollow.utils.message import StrictMessage


class GatewaySettings(StrictMessage):
    """
    Configure one gateway.

    Attributes
    ----------
    role : str
        Always `gateway`.
    instance : str
        Name of the instance, unique in the deployment.
    failure_domain : str
        Where it runs.
    regions : dict of str to str
        Region of each failure domain.
    front_address, ready_address : str
        Where callers and the balancer's readiness checks connect, `IP:PORT`.
    peer_address : str
        Where other gateways connect.
    metrics_address : str
        Where metrics and status are served; empty for nowhere.
    store_url : str
        Base address of the platform's store.
    grace_s : float
        Time between TERM and the end of the process.
    retry_ratio, retry_slack : float
        Further attempts that all gateways together may make in a window, as
        a share of requests and as a number beside it.
    cpu_share : float
        Share of a core that this process has.
    cores : float
        How many times as fast as usual that core is.
    link_mbps : float
        Bandwidth of the link of the instance, Mbit/s.
    configuration_bound_ms, leaving_bound_ms : float
        Time from the store's acceptance in which a configuration has to be
        in force, and in which an instance that leaves gets its last request.
    domain_drain_bound_ms : float
        Time from the store's acceptance of a drain in which the instances of
        that failure domain get their last request.
    warm_up_burst_ratio, warm_up_burst_slack : float
        Requests that an instance that warms up may get in one second from all
        gateways, as a multiple of its rate and as a number beside it.
    instance_heartbeat_ms : float
        Pace at which instances renew their entries in the store.
    quarantine_crashes : int
        Crashes of instances with a request running, and no good end since,
        from which the request is quarantined.
    quarantine_ms : float
        For how long after the last of them.
    """

    role: Literal['gateway']
    instance: str
    failure_domain: str
    front_address: str
    ready_address: str
    peer_address: str
    store_url: str
    metrics_address: str = ''
    regions: dict[str, str] | None = None
    grace_s: float = global_settings.GATEWAY_GRACE_S
    retry_ratio: float = global_settings.GATEWAY_RETRY_RATIO
    retry_slack: float = global_settings.GATEWAY_RETRY_SLACK
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = global_settings.LINK_MBPS
    configuration_bound_ms: float = global_settings.CONFIGURATION_BOUND_MS
    leaving_bound_ms: float = global_settings.LEAVING_BOUND_MS
    domain_drain_bound_ms: float = global_settings.DOMAIN_DRAIN_BOUND_MS
    warm_up_burst_ratio: Annotated[float, Meta(ge=0)] = (
        global_settings.WARM_UP_BURST_RATIO
    )
    warm_up_burst_slack: Annotated[float, Meta(ge=0)] = (
        global_settings.WARM_UP_BURST_SLACK
    )
    instance_heartbeat_ms: float = global_settings.INSTANCE_HEARTBEAT_MS
    quarantine_crashes: Annotated[int, Meta(ge=1)] = (
        global_settings.QUARANTINE_CRASHES
    )
    quarantine_ms: Annotated[float, Meta(gt=0)] = global_settings.QUARANTINE_MS

    def get_region(self, failure_domain: str) -> str:
        """Return the region of a failure domain; empty for an unknown one."""
        return (self.regions or {}).get(failure_domain, '')

    def get_shortest_bound_ms(self) -> float:
        """Return the time in which any change has to be in force."""
        return min(
            self.configuration_bound_ms,
            self.leaving_bound_ms,
            self.domain_drain_bound_ms,
        )

    def get_capacity(self) -> float:
        """Return the cores that this gateway can use for gates."""
        return compute_capacity(
            cores=self.cpu_share * self.cores,
            link_mbps=self.link_mbps,
        )
