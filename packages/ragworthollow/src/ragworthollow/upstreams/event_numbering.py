"""Name the ways in which upstreams number the events of their streams."""

import enum


class EventNumbering(enum.StrEnum):
    """
    Describe the ids of events that were seen.

    Ids of events increase; nothing else is certain of them.

    Attributes
    ----------
    consecutive
        Each id was the one before plus one.
    with_gaps
        A stream began above one, or an id was larger than the next number.
    """

    consecutive = 'consecutive'
    with_gaps = 'with_gaps'
