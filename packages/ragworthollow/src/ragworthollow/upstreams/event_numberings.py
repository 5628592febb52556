"""Remember how upstreams number the events of their streams."""

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.event_numbering import EventNumbering


class EventNumberings:
    """
    Hold the numbering that was seen of each route and software version.

    Gaps that were seen once stay known: events that usually follow each other
    may then skip numbers at any time.
    """

    def __init__(self) -> None:
        self._numberings: dict[tuple[str, str], EventNumbering] = {}

    def find(self, route: str, software_version: str) -> EventNumbering | None:
        """Return what is known of a version; None if nothing is."""
        return self._numberings.get((route, software_version))

    def record(
        self,
        route: str,
        software_version: str,
        numbering: EventNumbering | None,
    ) -> None:
        """
        Record what a stream has shown.

        Parameters
        ----------
        route : str
            Name of the route.
        software_version : str
            Software version of the upstream.
        numbering : EventNumbering or None
            Numbering of its events; None if it had too few.
        """
        key = (route, software_version)
        known = self._numberings.get(key)
        if numbering is None or known is EventNumbering.with_gaps:
            return
        self._numberings[key] = numbering
        if len(self._numberings) > global_settings.MAX_EVENT_NUMBERINGS:
            oldest = next(iter(self._numberings))
            self._numberings.pop(oldest)
