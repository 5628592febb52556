"""Track which failure domains are drained."""

from collections.abc import Iterable, Mapping


class DomainDrains:
    """
    Track the drained failure domains and since when they are drained.

    The instances of a drained domain receive no new requests.  They finish
    the requests they have, and results stored there can still be read.
    """

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}

    def replace(
        self,
        drained: Iterable[str],
        now_ms: float,
    ) -> frozenset[str]:
        """
        Replace the set of drained domains.

        Parameters
        ----------
        drained : iterable of str
            Names of all drained domains; a domain without instances is ignored.
        now_ms : float
            Current time on the monotonic clock.

        Returns
        -------
        frozenset of str
            Domains that are no longer drained.
        """
        earlier = self._since_ms
        self._since_ms = {
            domain: earlier.get(domain, now_ms) for domain in drained
        }
        return frozenset(earlier.keys() - self._since_ms.keys())

    def is_drained(self, failure_domain: str) -> bool:
        """Return whether a failure domain is drained."""
        return failure_domain in self._since_ms

    def get_since_ms(self) -> Mapping[str, float]:
        """Return the drain start of each domain, on the monotonic clock."""
        return self._since_ms
