"""Define the stored record of the software versions of a pool."""

from ragworthollow.utils.message import Message


class PoolVersions(Message):
    """
    Hold the software versions at which streams of a pool may have begun.

    A version is announced before any stream begins at it, settled once all
    gateways know of it, and removed when its streams are no longer resumed.

    Attributes
    ----------
    settled : tuple of str
        Versions at which streams may begin.
    announced : tuple of str
        Versions that some gateways may not know yet.
    """

    settled: tuple[str, ...] = ()
    announced: tuple[str, ...] = ()

    def list_all(self) -> frozenset[str]:
        """Return the versions in any state."""
        return frozenset((*self.settled, *self.announced))
