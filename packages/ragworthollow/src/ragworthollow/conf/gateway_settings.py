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
        Failure domain that it runs in.
    regions : dict of str to str
        Region of each failure domain.
    front_address, ready_address : str
        Addresses for callers and for the balancer's readiness checks, as
        `IP:PORT`.
    peer_address : str
        Address for other gateways, as `IP:PORT`.
    metrics_address : str
        Address at which metrics and status are served; empty to disable.
    store_url : str
        Base URL of the platform's store.
    grace_s : float
        Seconds between SIGTERM and the end of the process.
    retry_ratio, retry_slack : float
        Retries that all gateways together may make in a window, as a fraction
        of requests and as a fixed number on top.
    cpu_share : float
        Fraction of a core that this process may use.
    cores : float
        Speed of that core relative to a standard core.
    memory_mb : float
        Memory of the instance in megabytes, beyond which it is killed.
    max_descriptors : int
        File descriptors that the process may open; 0 if only the limit of the
        kernel applies.
    link_mbps : float
        Bandwidth of the instance's link in Mbit/s.
    configuration_bound_ms, leaving_bound_ms : float
        Milliseconds from the store's acceptance until a configuration has to
        be active, and until an instance that is shutting down gets its last
        request.
    domain_drain_bound_ms : float
        Milliseconds from the store's acceptance of a drain until the instances
        of that failure domain get their last request.
    warm_up_burst_ratio, warm_up_burst_slack : float
        Requests that an instance may get in one second from all gateways
        during its warm-up, as a multiple of its rate and as a fixed number on
        top.
    instance_heartbeat_ms : float
        Interval in milliseconds at which instances renew their records in the
        store.
    platform_contracts : tuple of str
        Contracts that the platform declares for the installation; some call
        for features.
    scarce_result_space : bool or None
        Whether stage work takes space for results as late and for as short as
        possible; None if the contracts decide.
    quarantine_crashes : int
        Number of instance crashes while a request was running, without a
        success since, from which the request is quarantined.
    quarantine_part_crashes : int
        The same for a prompt part that no successful request has had.
    quarantine_ms : float
        Duration of the quarantine after the last crash, in milliseconds.
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
    memory_mb: Annotated[float, Meta(gt=0)] = global_settings.GATEWAY_MEMORY_MB
    max_descriptors: Annotated[int, Meta(ge=0)] = 0
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
    platform_contracts: tuple[str, ...] = ()
    scarce_result_space: bool | None = None
    quarantine_crashes: Annotated[int, Meta(ge=1)] = (
        global_settings.QUARANTINE_CRASHES
    )
    quarantine_part_crashes: Annotated[int, Meta(ge=2)] = (
        global_settings.QUARANTINE_PART_CRASHES
    )
    quarantine_ms: Annotated[float, Meta(gt=0)] = global_settings.QUARANTINE_MS

    def get_region(self, failure_domain: str) -> str:
        """Return the region of a failure domain; empty if it is unknown."""
        return (self.regions or {}).get(failure_domain, '')

    def get_shortest_bound_ms(self) -> float:
        """Return the shortest time bound of any change, in milliseconds."""
        return min(
            self.configuration_bound_ms,
            self.leaving_bound_ms,
            self.domain_drain_bound_ms,
        )

    def get_capacity(self) -> float:
        """Return the number of cores available for hosting schedulers."""
        return compute_capacity(
            cores=self.cpu_share * self.cores,
            link_mbps=self.link_mbps,
        )
