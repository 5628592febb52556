"""Talk to the platform: its key-value service and its instance list."""

from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.platform.instance_list import InstanceEntry, InstanceList
from ragworthollow.platform.instance_poller import InstancePoller
from ragworthollow.platform.key_value import KeyValue, Stored

__all__ = (
    'InstanceEntry',
    'InstanceList',
    'InstancePoller',
    'KeyValue',
    'PlatformError',
    'Stored',
)
