"""Rank requests by the priorities of their organisation and route."""

import itertools
from collections.abc import Iterable

from ragworthollow.conf import global_settings


class PriorityRanks:
    """
    Rank the combinations of priorities that a configuration contains.

    The priority of an organisation takes precedence over that of a route, and
    the latter decides between requests of equal organisations.  Without it,
    all requests of a configuration whose organisations share one priority
    would rank equally, whatever their routes.

    Parameters
    ----------
    organisations : iterable of int or None
        Priorities of the organisations, 0 first; None for those without one.
    routes : iterable of int
        Priorities of the routes, 0 first.
    """

    def __init__(
        self,
        *,
        organisations: Iterable[int | None],
        routes: Iterable[int],
    ) -> None:
        combinations = {
            _get_order(organisation, route)
            for organisation, route in itertools.product(
                (None, *organisations), tuple(routes)
            )
        }
        self._ranks = {
            order: min(rank, global_settings.PRIORITIES - 1)
            for rank, order in enumerate(sorted(combinations))
        }

    def get(self, organisation: int | None, route: int) -> int:
        """Return the rank of a request, 0 first."""
        return self._ranks[_get_order(organisation, route)]


def _get_order(organisation: int | None, route: int) -> tuple[int, int]:
    return (route if organisation is None else organisation, route)
