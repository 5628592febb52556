"""Define the default values and the settings of a process."""

from ragworthollow.conf.daemon_settings import DaemonSettings, Role
from ragworthollow.conf.gateway_settings import GatewaySettings
from ragworthollow.conf.listen_settings import ListenSettings
from ragworthollow.conf.operator_settings import OperatorSettings
from ragworthollow.conf.platform_settings import PlatformSettings
from ragworthollow.conf.sidecar_settings import SidecarSettings

__all__ = (
    'DaemonSettings',
    'GatewaySettings',
    'ListenSettings',
    'OperatorSettings',
    'PlatformSettings',
    'Role',
    'SidecarSettings',
)
