"""Define the platform's list of instances."""

import enum

from ragworthollow.utils.message import Message

ENTRY_POOL = 'entry'


class InstanceState(enum.StrEnum):
    """Tell what the platform says of an instance."""

    live = 'live'
    leaving = 'leaving'


class InstanceEntry(Message):
    """
    List one instance.

    Attributes
    ----------
    instance : str
        Its name.
    pool : str
        Pool of the upstream, or `entry` for an entry of this system.
    failure_domain : str
        Where it runs.
    address : str
        `IP:PORT` of the process of this system in its slot.
    state : InstanceState
        What the platform last knew, which lags.
    """

    instance: str
    pool: str
    failure_domain: str
    address: str
    state: InstanceState = InstanceState.live


class InstanceList(Message):
    """
    List all instances.

    Attributes
    ----------
    revision : int
        Grows with each change of the list.
    instances : tuple of InstanceEntry
        In no particular order.
    """

    revision: int = 0
    instances: tuple[InstanceEntry, ...] = ()
