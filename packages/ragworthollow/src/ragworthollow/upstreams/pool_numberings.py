"""Define the stored record of how the streams of a pool are numbered."""

from collections.abc import Mapping

from ragworthollow.upstreams.event_numbering import EventNumbering
from ragworthollow.utils.message import Message


class PoolNumberings(Message):
    """
    Hold the numbering that the gateways have seen of a pool's streams.

    Attributes
    ----------
    versions : mapping of str to mapping of str to EventNumbering
        Numbering by software version and name of the route.
    """

    versions: Mapping[str, Mapping[str, EventNumbering]] = {}

    def find(self, route: str, software_version: str) -> EventNumbering | None:
        """Return what is recorded of a version; None if nothing is."""
        return self.versions.get(software_version, {}).get(route)

    def count(self) -> int:
        """Return the number of pairs of a route and a version."""
        return sum(map(len, self.versions.values()))
