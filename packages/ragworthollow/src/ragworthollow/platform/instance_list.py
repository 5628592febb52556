"""Define the platform's list of instances."""

import enum

from ragworthollow.utils import HostAddress
from ragworthollow.utils.message import Message

ENTRY_POOL = 'entry'


class InstanceState(enum.StrEnum):
    """Enumerate the states of an instance that the platform reports."""

    live = 'live'
    leaving = 'leaving'


class InstanceEntry(Message):
    """
    Describe one instance of the list.

    Attributes
    ----------
    instance : str
        Name of the instance.
    pool : str
        Pool of the upstream, or `entry` for a process with the role `entry`.
    failure_domain : str
        Failure domain that it runs in.
    address : HostAddress
        `IP:PORT` of this system's process at the instance.
    state : InstanceState
        Last state known to the platform, which may be out of date.
    """

    instance: str
    pool: str
    failure_domain: str
    address: HostAddress
    state: InstanceState = InstanceState.live


class InstanceList(Message):
    """
    Hold the list of all instances.

    Attributes
    ----------
    revision : int
        Revision of the list; it increases with each change.
    instances : tuple of InstanceEntry
        The instances, in no particular order.
    """

    revision: int = 0
    instances: tuple[InstanceEntry, ...] = ()
