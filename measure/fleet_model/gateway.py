"""Simulate a gateway with production code on a simulated network."""

import asyncio

from result import Err, Ok, Result

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.network import Network
from measure.fleet_model.outcome import GatewayResponse
from measure.fleet_model.pings import ping_hosts
from measure.fleet_model.stage_instance import InstanceLost, StageInstance
from ragworthollow.conf import GatewaySettings, global_settings
from ragworthollow.exchange import (
    PromptPart,
    RequestParameters,
    TypicalTimeLimits,
)
from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.pieces import Piece, PieceCall, PieceResult
from ragworthollow.routes import Route, RouteTable
from ragworthollow.transport.piece_messages import ResultsRelease
from ragworthollow.upstreams import (
    UpstreamCriteria,
    UpstreamInstance,
    choose_upstream,
)
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.deferral_queue import DeferralQueue
from ragworthollow_daemon.gateway.latency_estimate import LatencyEstimate
from ragworthollow_daemon.gateway.lateness import refuse_if_late
from ragworthollow_daemon.gateway.piece_client import PieceClient
from ragworthollow_daemon.gateway.piece_service import PieceService
from ragworthollow_daemon.gateway.refusals import refuse
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.stage_graph_runner import StageGraphRunner
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

ENGINES = 'engines'
_MILLISECONDS = 1000

PieceResults = tuple[PieceResult, ...]


class ModelGateway:
    """
    Serve requests like a gateway, without sockets.

    Parameters
    ----------
    settings : GatewaySettings
        Settings, among them its name and failure domain.
    route_table : RouteTable
        Active route table.
    network : Network
        Network that connects it with instances and other gateways.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        route_table: RouteTable,
        network: Network,
    ) -> None:
        self.name = settings.instance
        self.context = GatewayContext(settings=settings)
        self.context.route_table = route_table
        self.members = GatewayMembers(instance=self.name)
        self._network = network
        self._typical_limits = TypicalTimeLimits()
        self.service = PieceService(
            context=self.context,
            send=self._send,
            release_at=self._release_at,
            query=self._query_is_busy,
        )
        self.client = PieceClient(
            context=self.context,
            members=self.members,
            service=self.service,
            send_pieces=self._request_pieces,
            send_release=self._notify_released,
        )
        self._deferral = DeferralQueue(
            context=self.context,
            get_waits_ms=self.client.get_waits_ms,
            is_space_scarce=self.client.is_space_scarce,
            is_quarantined=lambda _: False,
        )

    def make_member(self) -> GatewayMember:
        """Return its member record, as other gateways see it."""
        return GatewayMember(
            instance=self.name,
            incarnation=self.name,
            peer_address=self.name,
            failure_domain=self.context.settings.failure_domain,
        )

    def start(self) -> None:
        """Start to run the schedulers and to ping their hosts."""
        self.context.spawn(self._run_scheduling_cycles())
        self.context.spawn(ping_hosts(self, self._network))

    async def serve(
        self,
        arrival: Arrival,
        route: Route,
        time_limit_ms: float,
    ) -> GatewayResponse:
        """Serve a request up to its first event, or refuse it."""
        await self._network.wait_until_running(self.name)
        parameters = self._make_parameters(arrival, time_limit_ms)
        now_ms = get_monotonic_ms()
        job = RequestJob(
            request=None,
            body=b'',
            request_parameters=parameters,
            route=route,
            holder=None,
            pool=ENGINES,
            route_table=self.context.route_table,
            waited_ms=self._typical_limits.record(route.name, time_limit_ms),
            fingerprint=parameters.request_id,
            part_fingerprints=(),
            key_fingerprint='',
            received_ms=now_ms,
            deadline_ms=now_ms + time_limit_ms,
        )
        estimate = LatencyEstimate(
            job=job,
            first_event_ms=self.context.engine_view.get_first_event_latency(
                ENGINES
            ).estimate_ms(
                job.request_parameters.prompt_tokens,
            ),
        )
        refusal = refuse_if_late(job, estimate, self.client.get_waits_ms)
        if refusal is not None:
            if not await self._deferral.wait(job, estimate):
                return self._refuse(refusal)
            estimate = estimate.as_deferred()
        engine = self.context.directory.get(self._choose_engine(job))
        stages = StageGraphRunner(
            client=self.client,
            job=job,
            estimate=estimate,
            failure_domain=engine.failure_domain,
        )
        try:
            return await self._run(job, stages)
        finally:
            stages.release()

    async def _run(
        self, job: RequestJob, stages: StageGraphRunner
    ) -> GatewayResponse:
        try:
            async with asyncio.timeout(job.get_remaining_ms() / _MILLISECONDS):
                stage_result = await stages.run()
        except TimeoutError:
            stage_result = Err(
                UpstreamFailure(
                    outcome=Outcome.not_run,
                    reason=Reason.deadline_exceeded,
                    step='front',
                    peer=job.pool,
                ),
            )
        if isinstance(stage_result, Err):
            return self._refuse(stage_result.err_value)
        engine_name = self._choose_engine(job)
        load = self.context.load_tracker.get(engine_name)
        load.in_flight += 1
        sent_ms = get_monotonic_ms()
        release_timer = asyncio.get_running_loop().call_later(
            global_settings.ENGINE_INPUTS_READ_MS / _MILLISECONDS,
            stages.release,
        )
        try:
            await self._network.read_prompt(
                self.name, engine_name, job.request_parameters
            )
        finally:
            release_timer.cancel()
            load.in_flight -= 1
        self.context.engine_view.get_first_event_latency(ENGINES).record(
            job.request_parameters.prompt_tokens,
            get_monotonic_ms() - sent_ms,
        )
        self._network.generate(
            engine_name, job.request_parameters.output_tokens
        )
        return GatewayResponse(is_served=True)

    def _choose_engine(self, job: RequestJob) -> str:
        engine = choose_upstream(
            self.context.directory.get_pool(ENGINES),
            self.context.load_tracker,
            UpstreamCriteria(
                affinity_key=job.request_parameters.get_affinity_key()
            ),
            get_monotonic_ms(),
            self.context.rng,
        )
        return engine.instance

    def _make_parameters(
        self,
        arrival: Arrival,
        time_limit_ms: float,
    ) -> RequestParameters:
        kind = self._network.sheet.kinds[arrival.kind]
        shared = PromptPart(
            part=f'{arrival.kind}/{arrival.subject}',
            tokens=kind.shared_tokens,
        )
        own = PromptPart(
            part=f'own/{arrival.number}', tokens=arrival.own_tokens
        )
        return RequestParameters(
            request_id=f'{arrival.number}',
            time_limit_ms=time_limit_ms,
            prompt_parts=(shared, own),
            prompt_tokens=shared.tokens + own.tokens,
            output_tokens=kind.output_tokens,
            piece_counts=arrival.piece_counts,
            piece_key=f'{arrival.number}',
        )

    def _refuse(self, failure: UpstreamFailure) -> GatewayResponse:
        response = refuse(failure, self.context.rng)
        after_s = float(response.headers.get('Retry-After', 0))
        return GatewayResponse(
            is_served=False,
            reason=failure.reason,
            retry_after_ms=after_s * _MILLISECONDS,
        )

    async def _send(
        self,
        context: GatewayContext,
        call: PieceCall,
    ) -> Result[PieceResults, UpstreamFailure]:
        pieces = tuple(waiting.piece for waiting in call.pieces)
        instance = self._network.stages[call.instance.instance]
        await self._network.transmit(self.name)
        try:
            results = await instance.run(pieces, self._network.stages)
        except InstanceLost as error:
            return Err(
                UpstreamFailure(
                    outcome=Outcome.unknown,
                    reason=Reason.connection_lost,
                    step='pieces',
                    peer=call.instance.instance,
                    detail=str(error),
                ),
            )
        await self._network.transmit(self.name)
        return Ok(results)

    async def _query_is_busy(
        self,
        context: GatewayContext,
        instance: UpstreamInstance,
    ) -> bool | None:
        await self._network.transmit(self.name)
        return self._network.stages[instance.instance].is_busy()

    async def _release_at(
        self,
        context: GatewayContext,
        producer: str,
        handles: tuple[str, ...],
    ) -> None:
        await self._network.transmit(self.name)
        instance: StageInstance = self._network.stages[producer]
        for handle in handles:
            instance.release(handle)

    async def _request_pieces(
        self,
        context: GatewayContext,
        host: GatewayMember,
        pool: str,
        pieces: tuple[Piece, ...],
    ) -> Result[PieceResults, str]:
        if not await self._network.try_deliver(self.name, host.instance):
            return Err('no connection')
        peer = self._network.gateways[host.instance]
        peer.service.requesters.record_request(
            self.context.incarnation, get_monotonic_ms()
        )
        results = await peer.service.run(pool, pieces)
        if not await self._network.try_deliver(host.instance, self.name):
            return Err('connection lost')
        return Ok(results)

    async def _notify_released(
        self,
        context: GatewayContext,
        host: GatewayMember,
        release: ResultsRelease,
    ) -> bool:
        if not await self._network.try_deliver(self.name, host.instance):
            return False
        peer = self._network.gateways[host.instance]
        peer.service.release(release.pool, release.handles)
        return True

    async def _run_scheduling_cycles(self) -> None:
        while True:
            await asyncio.sleep(
                global_settings.SCHEDULER_TICK_MS / _MILLISECONDS
            )
            await self._network.wait_until_running(self.name)
            self.service.advance_all()
            self._deferral.start_ready()
