"""Define the settings of one daemon."""

import enum

from ragworthollow.conf import global_settings
from ragworthollow.conf.listen_settings import ListenSettings
from ragworthollow.conf.operator_settings import OperatorSettings
from ragworthollow.conf.platform_settings import PlatformSettings
from ragworthollow.conf.sidecar_settings import SidecarSettings
from ragworthollow.utils.message import StrictMessage


class Role(enum.StrEnum):
    """Name what a daemon does."""

    entry = 'entry'
    sidecar = 'sidecar'


class DaemonSettings(StrictMessage):
    """
    Configure one daemon.

    Attributes
    ----------
    role : Role
        What this daemon does.
    instance : str
        Name of the instance, unique in the deployment.
    failure_domain : str
        Where it runs.
    listen : ListenSettings
        Its one address.
    platform : PlatformSettings
        The platform's services.
    cluster_key : str
        Secret that processes of this deployment present to each other.
    sidecar : SidecarSettings or None
        Required for the role `sidecar`.
    operators : tuple of OperatorSettings
        Who may change configuration; used by the role `entry`.
    balancer_lag_ms : int
        How long after a negative readiness the balancer may still send.
    drain_limit_ms : int
        Longest graceful shutdown; what still runs then is cut and logged.
    lease_ttl_ms : int
        Time to live of this process's lease.
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
