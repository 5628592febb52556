"""Decide which of two values of a key was written later."""

import msgspec

from ragworthollow.conf import global_settings
from ragworthollow.platform.configuration_wire import CONFIGURATION_KEY
from ragworthollow.platform.drains_wire import DRAINS_PREFIX
from ragworthollow.platform.instances_wire import INSTANCES_PREFIX
from ragworthollow.utils import decode_json, get_wall_ms
from ragworthollow.utils.message import Message

_LEAVING = 'draining'


class _Version(Message):
    """Hold the version of a configuration."""

    version: int


class _Report(Message):
    """Hold the fields that order the reports of an instance."""

    born: int = 0
    state: str = ''
    seq: int = 0

    def get_order(self) -> tuple[int, bool, int]:
        """
        Return a key that increases with each report.

        `draining` sorts last because an instance never cancels its shutdown.
        """
        return (self.born, self.state == _LEAVING, self.seq)


def is_newer_value(key: str, text: str, other: str) -> bool:
    """
    Return whether a value is newer than another value of the same key.

    Only the values themselves are compared, not their revisions.

    Parameters
    ----------
    key : str
        The key.
    text, other : str
        The values to compare.

    Returns
    -------
    bool
        True if `text` is certainly newer than `other`.
    """
    try:
        if key == CONFIGURATION_KEY:
            return _read_order(text, _Version) > _read_order(other, _Version)
        if key.startswith(INSTANCES_PREFIX):
            order = _read_order(text, _Report)
            # Reports are more than a millisecond apart, clocks may differ.
            latest_ms = get_wall_ms() + global_settings.KEY_MAX_AGE_MS
            is_sound = max(order) < latest_ms
            return is_sound and order > _read_order(other, _Report)
    except msgspec.DecodeError:
        # The subscribers of that key log values that cannot be decoded.
        return False
    return False


def is_retained_after_loss(key: str) -> bool:
    """
    Return whether a key that the store has lost stays valid for a while.

    Records of instances do not: the list of instances has its own rule for
    records that are missing after an outage.
    """
    return not key.startswith(INSTANCES_PREFIX)


def may_stay_removed(key: str) -> bool:
    """
    Return whether a removed key is ignored for a while if the store has it.

    Drains are not: the operators may have started the drain again, and obeying
    a drain that has ended costs less than missing an active drain.
    """
    return not key.startswith(DRAINS_PREFIX)


def _read_order(text: str, kind: type[_Version | _Report]) -> tuple:
    decoded = decode_json(text, kind)
    if isinstance(decoded, _Version):
        return (decoded.version,)
    return decoded.get_order()
