"""Translate between this system and the platform that it runs on."""

from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.platform.instance_list import InstanceEntry, InstanceList
from ragworthollow.platform.instance_poller import InstancePoller
from ragworthollow.platform.store_client import StoreClient
from ragworthollow.platform.stored import Stored

__all__ = (
    'InstanceEntry',
    'InstanceList',
    'InstancePoller',
    'PlatformError',
    'StoreClient',
    'Stored',
)
