"""Define the settings of one daemon."""

import enum
from typing import Annotated

from msgspec import Meta

from ragworthollow.conf import global_settings
from ragworthollow.conf.listen_settings import ListenSettings
from ragworthollow.conf.operator_settings import OperatorSettings
from ragworthollow.conf.platform_settings import PlatformSettings
from ragworthollow.conf.sidecar_settings import SidecarSettings
from ragworthollow.utils.message import StrictMessage


class Role(enum.StrEnum):
    """Enumerate the roles of a daemon."""

    entry = 'entry'
    sidecar = 'sidecar'


class DaemonSettings(StrictMessage):
    """
    Configure one daemon.

    Attributes
    ----------
    role : Role
        Role of this daemon.
    instance : str
        Name of the instance, unique in the deployment.
    failure_domain : str
        Failure domain that it runs in.
    listen : ListenSettings
        Address that it listens on.
    platform : PlatformSettings
        Addresses of the platform's services.
    cluster_key : str
        Secret with which the processes of this deployment authenticate to
        each other.
    sidecar : SidecarSettings or None
        Required for the role `sidecar`.
    operators : tuple of OperatorSettings
        Operators who may change the configuration; used by the role `entry`.
    balancer_lag_ms : int
        Time in milliseconds for which the balancer may still send requests
        after a failed readiness check.
    drain_limit_ms : int
        Maximum duration of a graceful shutdown in milliseconds; requests that
        still run then are aborted and logged.
    lease_ttl_ms : int
        Time to live of this process's lease in milliseconds.
    memory_mb : float
        Memory of this process in megabytes, beyond which it is killed.
    max_descriptors : int
        File descriptors that the process may open; 0 if only the limit of the
        kernel applies.
    """

    role: Role
    instance: str
    failure_domain: str
    listen: ListenSettings
    platform: PlatformSettings
    cluster_key: str
    sidecar: SidecarSettings | None = None
    operators: tuple[OperatorSettings, ...] = ()
    balancer_lag_ms: int = global_settings.BALANCER_LAG_MS
    drain_limit_ms: int = global_settings.DRAIN_LIMIT_MS
    lease_ttl_ms: int = global_settings.LEASE_TTL_MS
    memory_mb: Annotated[float, Meta(gt=0)] = global_settings.GATEWAY_MEMORY_MB
    max_descriptors: Annotated[int, Meta(ge=0)] = 0
