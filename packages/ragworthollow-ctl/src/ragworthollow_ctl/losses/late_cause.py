"""Determine where a response became late."""

import enum

from ragworthollow_ctl.losses.log_line import LogLine


class LateCause(enum.StrEnum):
    """
    Enumerate where a response exceeded its latency objective.

    Attributes
    ----------
    before_instance
        When its stages were done, so that no instance could have been in time.
    at_instance
        After that, at the instance that served it.
    """

    before_instance = 'late before its instance'
    at_instance = 'late at its instance'


def find_late_cause(line: LogLine) -> LateCause:
    """Return where a late response exceeded its objective."""
    staged_late_ms = line.late_ms - (line.began_after_ms - line.staged_ms)
    if staged_late_ms >= 0:
        return LateCause.before_instance
    return LateCause.at_instance
