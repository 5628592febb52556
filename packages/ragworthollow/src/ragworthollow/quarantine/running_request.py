"""Define a request that was running when an instance crashed."""

from dataclasses import dataclass

from ragworthollow.conf import global_settings


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningRequest:
    """
    Name what may be to blame for the crash of an instance.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request.
    part_fingerprints : tuple of str
        Fingerprints of its prompt parts that other requests may share.
    started_ms : float or None
        Time at which it was sent to the instance, on the clock of the
        evidence; None if unknown.
    """

    fingerprint: str
    part_fingerprints: tuple[str, ...] = ()
    started_ms: float | None = None

    def get_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the request and of its parts."""
        return (self.fingerprint, *self.part_fingerprints)

    def get_companions(self, fingerprint: str) -> tuple[str, ...] | None:
        """
        Return the other parts of the request; None if there are too many.

        Parameters
        ----------
        fingerprint : str
            The request or the part whose companions they are.
        """
        if len(self.part_fingerprints) > global_settings.MAX_COMPANIONS:
            return None
        return tuple(
            part for part in self.part_fingerprints if part != fingerprint
        )
