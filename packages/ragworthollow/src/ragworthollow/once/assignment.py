"""Define who owns which keys of a pool."""

import msgspec
import xxhash

from ragworthollow.conf import global_settings
from ragworthollow.utils.hashing import get_rank
from ragworthollow.utils.message import Message


class Member(Message):
    """
    List a sidecar that may write the assignment.

    Attributes
    ----------
    instance : str
        Its name.
    incarnation : str
        The process; a restarted one has lost its promises and joins anew.
    address : str
        `IP:PORT`.
    joined_ms : int
        When it became a member, Unix epoch.
    """

    instance: str
    incarnation: str
    address: str
    joined_ms: int


class RangeOwner(Message):
    """
    Name the owner of one range of keys.

    Attributes
    ----------
    instance, incarnation : str
        The process; a restarted one has another incarnation.
    since_ms : int
        Keys born before may have been run by an earlier owner whose records
        are lost, Unix epoch.
    """

    instance: str
    incarnation: str
    since_ms: int = 0


class Assignment(Message):
    """
    Hold the record that the platform keeps for one pool.

    Attributes
    ----------
    epoch : int
        Grows by one with each change; 0 means that none exists.
    members : tuple of Member
        The only processes that may write the next epoch.
    ranges : tuple of RangeOwner
        Owner of each range, by its index.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    ranges: tuple[RangeOwner, ...] = ()

    def get_owner(self, key: str) -> RangeOwner | None:
        """Return the owner of a key; None while there is no record."""
        if not self.ranges:
            return None
        return self.ranges[get_range(key)]

    def get_member(self, instance: str) -> Member | None:
        """Return a member by name."""
        found = (one for one in self.members if one.instance == instance)
        return next(found, None)


def get_range(key: str) -> int:
    """
    Return the index of the range that a key falls into.

    Parameters
    ----------
    key : str
        Full once key.

    Returns
    -------
    int
        0 up to the number of ranges.
    """
    return xxhash.xxh64_intdigest(key.encode()) % global_settings.ONCE_RANGES


def get_preferred(index: int, instances: list[str]) -> str:
    """
    Return the instance that should own a range among those alive.

    Parameters
    ----------
    index : int
        The range.
    instances : list of str
        Names of the members that are alive; not empty.

    Returns
    -------
    str
        The same for everyone who asks with the same instances.
    """
    return max(instances, key=lambda name: get_rank(f'range/{index}', name))


def decode_assignment(text: str) -> Assignment:
    """
    Decode the stored record.

    Parameters
    ----------
    text : str
        JSON, or empty when the key is absent.

    Returns
    -------
    Assignment
        Epoch 0 when absent.

    Raises
    ------
    msgspec.DecodeError
        The record is damaged.
    """
    if not text:
        return Assignment()
    return msgspec.json.decode(text, type=Assignment)
