"""Model those who call."""

import asyncio
import random
from collections.abc import Sequence

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.network import Network
from measure.fleet_model.outcome import Answer, RequestRecord
from ragworthollow.outcomes import Reason
from ragworthollow.routes import RouteTable

_MILLISECONDS = 1000
# Part of the time left that a caller waits at most before it comes back.
_RETURN_SHARE = 1 / 3
_TRIES = 2


class Callers:
    """
    Send requests to gateways, and come back once after a refusal.

    Parameters
    ----------
    network : Network
        The gateways.
    table : RouteTable
        Routes of the kinds of requests.
    seed : int
        Of the choice among gateways.
    """

    def __init__(
        self,
        *,
        network: Network,
        table: RouteTable,
        seed: int,
    ) -> None:
        self._network = network
        self._table = table
        self._rng = random.Random(f'day/{seed}')  # noqa: S311
        self._records: list[RequestRecord] = []

    async def send_all(
        self,
        arrivals: Sequence[Arrival],
    ) -> list[RequestRecord]:
        """Send each request at its time; return what became of all."""
        await asyncio.gather(*map(self._call, arrivals))
        return self._records

    async def _call(self, arrival: Arrival) -> None:
        """Be the caller of one request."""
        loop = asyncio.get_running_loop()
        kind = self._network.sheet.kinds[arrival.kind]
        await asyncio.sleep(arrival.at_ms / _MILLISECONDS)
        deadline_ms = arrival.at_ms + kind.timeout_ms
        reason = None
        refused_ms = None
        tries = 0
        while tries < _TRIES:
            tries += 1
            left_ms = deadline_ms - loop.time() * _MILLISECONDS
            answer = await self._try(arrival, left_ms)
            if answer.is_served:
                took_ms = loop.time() * _MILLISECONDS - arrival.at_ms
                self._note(arrival, took_ms, tries, refused_ms, None)
                return
            reason = answer.reason
            if refused_ms is None:
                refused_ms = loop.time() * _MILLISECONDS - arrival.at_ms
            left_ms = deadline_ms - loop.time() * _MILLISECONDS
            pause_ms = min(answer.retry_after_ms, left_ms * _RETURN_SHARE)
            if left_ms <= 0 or reason is Reason.connection_lost:
                break
            await asyncio.sleep(pause_ms / _MILLISECONDS)
        self._note(arrival, None, tries, refused_ms, reason)

    async def _try(self, arrival: Arrival, left_ms: float) -> Answer:
        caller_s = self._network.sheet.caller_ms / _MILLISECONDS
        alive = [
            name
            for name in self._network.gateways
            if self._network.find_fault(name) != 'kill'
        ]
        if not alive:
            return Answer(is_served=False, reason=Reason.connect_failed)
        gateway = self._network.gateways[self._rng.choice(alive)]
        await asyncio.sleep(caller_s)
        serving = asyncio.ensure_future(
            gateway.serve(arrival, self._get_route(arrival), left_ms),
        )
        while not serving.done():
            await asyncio.wait({serving}, timeout=left_ms / _MILLISECONDS)
            if not serving.done():
                serving.cancel()
                return Answer(is_served=False, reason=Reason.deadline_exceeded)
        await asyncio.sleep(caller_s)
        is_replaced = self._network.gateways[gateway.name] is not gateway
        if is_replaced or self._network.find_fault(gateway.name) == 'kill':
            return Answer(is_served=False, reason=Reason.connection_lost)
        return serving.result()

    def _get_route(self, arrival: Arrival):
        return self._table.match('model', f'/{arrival.kind}/')

    def _note(
        self,
        arrival: Arrival,
        took_ms: float | None,
        tries: int,
        refused_ms: float | None,
        reason: Reason | None,
    ) -> None:
        self._records.append(
            RequestRecord(
                arrival=arrival,
                took_ms=took_ms,
                tries=tries,
                refused_ms=refused_ms,
                reason=reason,
            ),
        )
