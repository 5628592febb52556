"""Define the stored records of what began streams."""

from ragworthollow.utils.message import Message

AttemptsByVersion = dict[str, list[str]]


class StreamSegment(Message):
    """
    Hold what began some of the streams of a gateway.

    Attributes
    ----------
    pools : dict of str to dict of str to list of str
        Callers' attempts whose response brought the first event, by pool and
        software version.
    uncertain : list of str
        Attempts of which it is not certain what began them.
    """

    pools: dict[str, AttemptsByVersion] = {}
    uncertain: list[str] = []
