"""Count the requests of one group."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class GroupCounts:
    """Count requests, those that were not served, and those served late."""

    requests: int = 0
    lost: int = 0
    late: int = 0
