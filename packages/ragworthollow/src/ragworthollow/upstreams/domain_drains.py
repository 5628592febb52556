"""Keep which failure domains are drained."""

from collections.abc import Iterable, Mapping


class DomainDrains:
    """
    Know the failure domains whose instances get nothing, and since when.

    The instances of a drained domain go on with what they have, and results
    that they hold can still be read there.
    """

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}

    def replace(
        self,
        drained: Iterable[str],
        now_ms: float,
    ) -> frozenset[str]:
        """
        Take all domains that are drained.

        Parameters
        ----------
        drained : iterable of str
            Their names; one without instances does no harm.
        now_ms : float
            Time on the monotonic clock.

        Returns
        -------
        frozenset of str
            Domains that may get work again.
        """
        earlier = self._since_ms
        self._since_ms = {
            domain: earlier.get(domain, now_ms) for domain in drained
        }
        return frozenset(earlier.keys() - self._since_ms.keys())

    def is_drained(self, failure_domain: str) -> bool:
        """Tell whether the instances of a domain get nothing."""
        return failure_domain in self._since_ms

    def get_since_ms(self) -> Mapping[str, float]:
        """Return since when each domain is drained, on the monotonic clock."""
        return self._since_ms
