"""Define how a response relates to the request it was received for."""

import enum


class Attribution(enum.StrEnum):
    """
    Describe what shows that a response answers a request.

    Attributes
    ----------
    identified
        It names the request.
    distinct
        It is no copy of an earlier response on its connection, and a copy of
        it could be told from the responses to later calls.
    unrepeatable
        It is no copy of an earlier response on its connection, but a copy of
        it could not be told from a later response.
    foreign
        It answers another request, or may do so.
    """

    identified = 'identified'
    distinct = 'distinct'
    unrepeatable = 'unrepeatable'
    foreign = 'foreign'

    def keeps_connection(self) -> bool:
        """Return whether later requests may use the connection."""
        return self in {Attribution.identified, Attribution.distinct}
