"""Define the stored records of what began streams."""

from ragworthollow.utils.message import Message


class StreamSegment(Message):
    """
    Hold which software versions began some of the streams of a gateway.

    Attributes
    ----------
    streams : dict of str to list of str
        Callers' attempts whose response brought the first event, by version.
    uncertain : list of str
        Attempts of which it is not certain which version began them.
    """

    streams: dict[str, list[str]] = {}
    uncertain: list[str] = []
