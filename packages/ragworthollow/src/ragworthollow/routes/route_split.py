"""Define how the requests of a route are divided among pools."""

import msgspec

from ragworthollow.utils.hashing import get_fraction
from ragworthollow.utils.json_decoding import decode_json
from ragworthollow.utils.message import Message


class RouteSplit(Message):
    """
    Hold the pools of a route that get requests, with their weights.

    Attributes
    ----------
    route : str
        Name of the route.
    pools : tuple of (str, float)
        Names and weights.
    """

    route: str
    pools: tuple[tuple[str, float], ...]

    def choose_pool(self, subject: str) -> str:
        """
        Choose a pool by weight, the same at every gateway.

        Parameters
        ----------
        subject : str
            Identifier of the request.
        """
        total = sum(weight for _, weight in self.pools)
        remaining = get_fraction(subject, self.route) * total
        for pool, weight in self.pools:
            remaining -= weight
            if remaining < 0:
                return pool
        return self.pools[-1][0]

    def list_pools(self, subject: str = '') -> frozenset[str]:
        """
        Return the pools that may get a request.

        Parameters
        ----------
        subject : str
            Identifier of the request; empty if it is not known.
        """
        if subject:
            return frozenset((self.choose_pool(subject),))
        return frozenset(pool for pool, _ in self.pools)


def encode_split(split: RouteSplit) -> str:
    """Return the text by which a split is recorded."""
    return msgspec.json.encode(split).decode()


def decode_split(text: str) -> RouteSplit | None:
    """Return a recorded split; None for a text of another writer."""
    try:
        split = decode_json(text, RouteSplit)
    except msgspec.DecodeError:
        return None
    return split if split.pools else None
