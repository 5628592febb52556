"""Translate between this system and the platform that it runs on."""

from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.platform.instance_list import InstanceEntry, InstanceList
from ragworthollow.platform.instance_poller import InstancePoller
from ragworthollow.platform.request_wire import REQUEST_ID_HEADER
from ragworthollow.platform.store_client import StoreClient
from ragworthollow.platform.stored import Stored

__all__ = (
    'REQUEST_ID_HEADER',
    'InstanceEntry',
    'InstanceList',
    'InstancePoller',
    'PlatformError',
    'StoreClient',
    'Stored',
)
