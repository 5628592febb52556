"""Remember how upstreams number the events of their streams."""

from collections.abc import Callable, Collection

from ragworthollow.conf import global_settings
from ragworthollow.upstreams.event_numbering import EventNumbering
from ragworthollow.upstreams.pool_numberings import PoolNumberings


class EventNumberings:
    """
    Hold the numbering that was seen of each route and software version.

    Gaps that were seen once stay known: events that usually follow each other
    may then skip numbers at any time.

    Attributes
    ----------
    on_learnt : callable
        Called when the numbering of a version becomes known or changes.
    """

    def __init__(self) -> None:
        self.on_learnt: Callable[[], None] = _ignore
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
        if numbering is None or known in {numbering, EventNumbering.with_gaps}:
            return
        self._numberings[key] = numbering
        if len(self._numberings) > global_settings.MAX_EVENT_NUMBERINGS:
            oldest = next(iter(self._numberings))
            self._numberings.pop(oldest)
        self.on_learnt()

    def merge(self, recorded: PoolNumberings) -> None:
        """Add what the gateways have recorded in the store."""
        for software_version, by_route in recorded.versions.items():
            for route, numbering in by_route.items():
                self.record(route, software_version, numbering)

    def find_change(
        self,
        recorded: PoolNumberings,
        routes: Collection[str],
        versions: Collection[str],
    ) -> PoolNumberings | None:
        """
        Return what the record of a pool has to be; None if it lacks nothing.

        Parameters
        ----------
        recorded : PoolNumberings
            The record.
        routes : collection of str
            Names of the pool's routes whose streams may be resumed.
        versions : collection of str
            Software versions that the pool has had; others are dropped.
        """
        learnt = {
            key: numbering
            for key, numbering in self._numberings.items()
            if key[0] in routes
            and key[1] in versions
            and recorded.find(*key) not in {numbering, EventNumbering.with_gaps}
        }
        if not learnt:
            return None
        merged = {
            version: dict(by_route)
            for version, by_route in recorded.versions.items()
            if version in versions
        }
        for (route, version), numbering in learnt.items():
            merged.setdefault(version, {})[route] = numbering
        change = PoolNumberings(versions=merged)
        is_full = change.count() > global_settings.MAX_EVENT_NUMBERINGS
        return None if is_full else change


def _ignore() -> None:
    """Notify nobody."""
