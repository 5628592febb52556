"""Simulate callers."""

import asyncio
import random
from collections.abc import Sequence

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.network import Network
from measure.fleet_model.outcome import GatewayResponse, RequestRecord
from ragworthollow.outcomes import Reason
from ragworthollow.routes import RouteTable

_MILLISECONDS = 1000
# Maximum delay before a retry, as a share of the remaining time.
_MAX_BACKOFF_SHARE = 1 / 3
_MAX_ATTEMPTS = 2


class Callers:
    """
    Send requests to gateways and retry once after a refusal.

    Parameters
    ----------
    network : Network
        Network that connects the gateways.
    route_table : RouteTable
        Routes of the kinds of requests.
    seed : int
        Seed of the random choice among gateways.
    """

    def __init__(
        self,
        *,
        network: Network,
        route_table: RouteTable,
        seed: int,
    ) -> None:
        self._network = network
        self._route_table = route_table
        self._rng = random.Random(f'day/{seed}')  # noqa: S311
        self._records: list[RequestRecord] = []

    async def send_all(
        self,
        arrivals: Sequence[Arrival],
    ) -> list[RequestRecord]:
        """Send each request at its arrival time and return all outcomes."""
        await asyncio.gather(*map(self._send, arrivals))
        return self._records

    async def _send(self, arrival: Arrival) -> None:
        """Send a request, retry it once if refused, and record the outcome."""
        loop = asyncio.get_running_loop()
        kind = self._network.sheet.kinds[arrival.kind]
        await asyncio.sleep(arrival.at_ms / _MILLISECONDS)
        deadline_ms = arrival.at_ms + kind.timeout_ms
        reason = None
        refused_ms = None
        attempts = 0
        while attempts < _MAX_ATTEMPTS:
            attempts += 1
            remaining_ms = deadline_ms - loop.time() * _MILLISECONDS
            response = await self._send_attempt(arrival, remaining_ms)
            if response.is_served:
                took_ms = loop.time() * _MILLISECONDS - arrival.at_ms
                self._record_outcome(
                    arrival, took_ms, attempts, refused_ms, None
                )
                return
            reason = response.reason
            if refused_ms is None:
                refused_ms = loop.time() * _MILLISECONDS - arrival.at_ms
            remaining_ms = deadline_ms - loop.time() * _MILLISECONDS
            pause_ms = min(
                response.retry_after_ms, remaining_ms * _MAX_BACKOFF_SHARE
            )
            if remaining_ms <= 0 or reason is Reason.connection_lost:
                break
            await asyncio.sleep(pause_ms / _MILLISECONDS)
        self._record_outcome(arrival, None, attempts, refused_ms, reason)

    async def _send_attempt(
        self, arrival: Arrival, remaining_ms: float
    ) -> GatewayResponse:
        caller_s = self._network.sheet.caller_ms / _MILLISECONDS
        running = [
            name
            for name in self._network.gateways
            if self._network.get_active_fault(name) != 'kill'
        ]
        if not running:
            return GatewayResponse(
                is_served=False, reason=Reason.connect_failed
            )
        gateway = self._network.gateways[self._rng.choice(running)]
        await asyncio.sleep(caller_s)
        serve_task = asyncio.ensure_future(
            gateway.serve(arrival, self._get_route(arrival), remaining_ms),
        )
        while not serve_task.done():
            await asyncio.wait(
                {serve_task}, timeout=remaining_ms / _MILLISECONDS
            )
            if not serve_task.done():
                serve_task.cancel()
                return GatewayResponse(
                    is_served=False, reason=Reason.deadline_exceeded
                )
        await asyncio.sleep(caller_s)
        is_replaced = self._network.gateways[gateway.name] is not gateway
        if (
            is_replaced
            or self._network.get_active_fault(gateway.name) == 'kill'
        ):
            return GatewayResponse(
                is_served=False, reason=Reason.connection_lost
            )
        return serve_task.result()

    def _get_route(self, arrival: Arrival):
        return self._route_table.match('model', f'/{arrival.kind}/')

    def _record_outcome(
        self,
        arrival: Arrival,
        took_ms: float | None,
        attempts: int,
        refused_ms: float | None,
        reason: Reason | None,
    ) -> None:
        self._records.append(
            RequestRecord(
                arrival=arrival,
                took_ms=took_ms,
                attempts=attempts,
                refused_ms=refused_ms,
                reason=reason,
            ),
        )
