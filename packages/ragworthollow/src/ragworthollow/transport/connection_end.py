"""Define how a connection can end."""

import enum


class ConnectionEnd(enum.StrEnum):
    """
    Describe how a connection ended.

    Attributes
    ----------
    closed
        The peer or this process closed it; all received bytes were read.
    failed
        It was reset or timed out; bytes may be missing.
    """

    closed = 'closed'
    failed = 'failed'
