"""Define which process owns which keys of a pool."""

import msgspec
import xxhash

from ragworthollow.conf import global_settings
from ragworthollow.utils import HostAddress, decode_json, get_wall_ms
from ragworthollow.utils.hashing import get_rank
from ragworthollow.utils.message import Message


class Member(Message):
    """
    Describe a sidecar that may write the assignment.

    Attributes
    ----------
    instance : str
        Name of the instance.
    incarnation : str
        Id of the process; a restarted process has lost its promises and joins
        again.
    address : HostAddress
        `IP:PORT`.
    joined_ms : int
        When the process became a member, in milliseconds of Unix time.
    """

    instance: str
    incarnation: str
    address: HostAddress
    joined_ms: int


class RangeOwner(Message):
    """
    Name the owner of one range of keys.

    Attributes
    ----------
    instance, incarnation : str
        The owning process; a restarted process has another incarnation.
    since_ms : int
        Unix time in milliseconds; keys created earlier may have been run by a
        previous owner whose records are lost.
    """

    instance: str
    incarnation: str
    since_ms: int = 0


class Assignment(Message):
    """
    Hold the assignment that the platform stores for one pool.

    Attributes
    ----------
    epoch : int
        Incremented by each change; 0 if no assignment exists.
    members : tuple of Member
        The only processes that may write the next epoch.
    ranges : tuple of RangeOwner
        Owner of each range, by index of the range.
    """

    epoch: int = 0
    members: tuple[Member, ...] = ()
    ranges: tuple[RangeOwner, ...] = ()

    def __post_init__(self) -> None:
        """Check the number of ranges."""
        if len(self.ranges) not in {0, global_settings.ONCE_RANGES}:
            raise ValueError(f'{len(self.ranges)} ranges')

    def get_owner(self, key: str) -> RangeOwner | None:
        """Return the owner of a key; None if no assignment exists."""
        if not self.ranges:
            return None
        return self.ranges[get_range(key)]

    def get_member(self, instance: str) -> Member | None:
        """Return the member of an instance; None if it is not a member."""
        matches = (
            member for member in self.members if member.instance == instance
        )
        return next(matches, None)


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
        From 0 up to, but not including, the number of ranges.
    """
    return xxhash.xxh64_intdigest(key.encode()) % global_settings.ONCE_RANGES


def get_preferred_owner(index: int, instances: list[str]) -> str:
    """
    Return the live instance that should own a range.

    Parameters
    ----------
    index : int
        Index of the range.
    instances : list of str
        Names of the live members; not empty.

    Returns
    -------
    str
        Same result in every process for the same instances.
    """
    return max(instances, key=lambda name: get_rank(f'range/{index}', name))


def decode_assignment(text: str) -> Assignment:
    """
    Decode the stored assignment.

    Parameters
    ----------
    text : str
        JSON, or empty if the key is absent.

    Returns
    -------
    Assignment
        Assignment with epoch 0 if the key is absent.

    Raises
    ------
    msgspec.DecodeError
        The stored text is not a valid assignment.
    """
    if not text:
        return Assignment()
    assignment = decode_json(text, Assignment)
    error = _find_error(assignment, get_wall_ms())
    if error:
        raise msgspec.ValidationError(error)
    return assignment


def _find_error(assignment: Assignment, wall_ms: float) -> str:
    """Return why no sidecar has written it; empty if one may have."""
    # Changes are more than a millisecond apart.
    if not 0 < assignment.epoch < wall_ms:
        return f'epoch {assignment.epoch}'
    if not assignment.ranges:
        return 'no ranges'
    members = {member.instance for member in assignment.members}
    if not members.issuperset(owner.instance for owner in assignment.ranges):
        return 'a range of an owner that is no member'
    latest_ms = wall_ms + global_settings.KEY_MAX_AGE_MS
    times_ms = [
        *(member.joined_ms for member in assignment.members),
        *(owner.since_ms for owner in assignment.ranges),
    ]
    return 'a time in the future' if max(times_ms) > latest_ms else ''
