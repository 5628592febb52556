"""Tell which of two values of a key was written later."""

import msgspec

from ragworthollow.platform.configuration_wire import CONFIGURATION_KEY
from ragworthollow.platform.drains_wire import DRAINS_PREFIX
from ragworthollow.platform.instances_wire import INSTANCES_PREFIX
from ragworthollow.utils.message import Message

_LEAVING = 'draining'


class _Version(Message):
    """Hold the version of a configuration."""

    version: int


class _Report(Message):
    """Hold what orders the reports of an instance."""

    born: int = 0
    state: str = ''
    seq: int = 0

    def get_order(self) -> tuple[int, bool, int]:
        """Return what grows with each report; no instance stays that leaves."""
        return (self.born, self.state == _LEAVING, self.seq)


def is_newer_value(key: str, held: str, found: str) -> bool:
    """
    Tell by itself whether a value is newer than another one of its key.

    Parameters
    ----------
    key : str
        The key.
    held, found : str
        The values.

    Returns
    -------
    bool
        Whether `held` is newer for certain.
    """
    try:
        if key == CONFIGURATION_KEY:
            return _read(held, _Version) > _read(found, _Version)
        if key.startswith(INSTANCES_PREFIX):
            return _read(held, _Report) > _read(found, _Report)
    except msgspec.DecodeError:
        # The followers of that key log what they cannot read.
        return False
    return False


def may_outlive_loss(key: str) -> bool:
    """
    Tell whether a key that the store has lost goes on to hold for a while.

    Entries of instances do not: the list of instances has its own rule for
    entries that are missing after an outage.
    """
    return not key.startswith(INSTANCES_PREFIX)


def may_stay_removed(key: str) -> bool:
    """
    Tell whether a removed key is left out for a while if the store has it.

    A drain is not: the operators may have begun it anew, and one that is over
    costs less than one that is missed.
    """
    return not key.startswith(DRAINS_PREFIX)


def _read(text: str, kind: type[_Version | _Report]) -> tuple:
    found = msgspec.json.decode(text, type=kind)
    if isinstance(found, _Version):
        return (found.version,)
    return found.get_order()
