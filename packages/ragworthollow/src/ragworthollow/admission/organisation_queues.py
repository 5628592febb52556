"""Hold the waiting calls in one queue per organisation."""

import bisect
from collections.abc import Iterable, Iterator

from ragworthollow.admission.ticket import Ticket


class OrganisationQueues:
    """Queue the waiting calls of each organisation by deadline."""

    def __init__(self) -> None:
        self._queues: dict[str, list[Ticket]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def get_organisations(self) -> Iterable[str]:
        """Return the organisations with waiting calls."""
        return self._queues.keys()

    def get_queue(self, organisation: str) -> list[Ticket]:
        """Return the waiting calls of one organisation, most urgent first."""
        return self._queues.get(organisation, [])

    def push(self, ticket: Ticket) -> None:
        """Enqueue a call."""
        queue = self._queues.setdefault(ticket.organisation, [])
        bisect.insort(queue, ticket, key=_get_order)

    def pop(self, organisation: str) -> Ticket:
        """Remove and return the most urgent call of an organisation."""
        ticket = self._queues[organisation].pop(0)
        self._drop_empty(organisation)
        return ticket

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a waiting call; return False if it no longer waits."""
        queue = self.get_queue(ticket.organisation)
        position = bisect.bisect_left(queue, _get_order(ticket), key=_get_order)
        if position >= len(queue) or queue[position] != ticket:
            return False
        queue.pop(position)
        self._drop_empty(ticket.organisation)
        return True

    def pop_late(self, limit_ms: float) -> Iterator[Ticket]:
        """Remove and yield the calls whose deadline is before a time."""
        for organisation in list(self._queues):
            queue = self._queues[organisation]
            late = bisect.bisect_left(queue, limit_ms, key=_get_deadline)
            yield from queue[:late]
            del queue[:late]
            self._drop_empty(organisation)

    def count_before(self, ticket: Ticket) -> int:
        """Count the organisation's calls that are more urgent than this."""
        return bisect.bisect_left(
            self.get_queue(ticket.organisation),
            ticket.deadline_ms,
            key=_get_deadline,
        )

    def _drop_empty(self, organisation: str) -> None:
        if not self._queues[organisation]:
            self._queues.pop(organisation)


def _get_order(ticket: Ticket) -> tuple[float, int]:
    return (ticket.deadline_ms, ticket.ticket_id)


def _get_deadline(ticket: Ticket) -> float:
    return ticket.deadline_ms
