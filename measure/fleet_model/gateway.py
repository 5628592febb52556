"""Model a gateway: the product's decisions, the model's network."""

import asyncio

from result import Err, Ok, Result

from measure.fleet_model.arrivals import Arrival
from measure.fleet_model.network import Network
from measure.fleet_model.outcome import Answer
from measure.fleet_model.pings import ping_forever
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

Found = tuple[PieceResult, ...]


class ModelGateway:
    """
    Serve requests as a gateway does, without sockets.

    Parameters
    ----------
    settings : GatewaySettings
        Its name and place.
    table : RouteTable
        Configuration in force.
    network : Network
        What it reaches, and the other gateways.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        table: RouteTable,
        network: Network,
    ) -> None:
        self.name = settings.instance
        self.context = GatewayContext(settings=settings)
        self.context.route_table = table
        self.members = GatewayMembers(instance=self.name)
        self._network = network
        self._usual_limits = TypicalTimeLimits()
        self.service = PieceService(
            context=self.context,
            send=self._send,
            release_at=self._free_at,
            query=self._ask_working,
        )
        self.client = PieceClient(
            context=self.context,
            members=self.members,
            service=self.service,
            send_pieces=self._ask,
            send_release=self._tell,
        )
        self._deferral = DeferralQueue(
            context=self.context,
            get_waits_ms=self.client.get_waits_ms,
        )

    def describe(self) -> GatewayMember:
        """Return what the others know of it."""
        return GatewayMember(
            instance=self.name,
            incarnation=self.name,
            peer_address=self.name,
            failure_domain=self.context.settings.failure_domain,
        )

    def start(self) -> None:
        """Begin to advance gates and to ping their hosts."""
        self.context.spawn(self._tick())
        self.context.spawn(ping_forever(self, self._network))

    async def serve(
        self,
        arrival: Arrival,
        route: Route,
        time_limit_ms: float,
    ) -> Answer:
        """Answer a request at its first event, or refuse it."""
        await self._network.wait_awake(self.name)
        terms = self._make_terms(arrival, time_limit_ms)
        now_ms = get_monotonic_ms()
        job = RequestJob(
            request=None,
            body=b'',
            request_parameters=terms,
            route=route,
            holder=None,
            pool=ENGINES,
            route_table=self.context.route_table,
            waited_ms=self._usual_limits.record(route.name, time_limit_ms),
            fingerprint=terms.request_id,
            received_ms=now_ms,
            deadline_ms=now_ms + time_limit_ms,
        )
        way = LatencyEstimate(
            job=job,
            first_event_ms=self.context.get_first_event_latency(
                ENGINES
            ).estimate_ms(
                job.request_parameters.prompt_tokens,
            ),
        )
        refusal = refuse_if_late(job, way, self.client.get_waits_ms)
        if refusal is not None:
            if not await self._deferral.wait(job, way):
                return self._refuse(refusal)
            way = way.as_deferred()
        engine = self.context.directory.get(self._choose_engine(job))
        stages = StageGraphRunner(
            client=self.client,
            job=job,
            estimate=way,
            failure_domain=engine.failure_domain,
        )
        try:
            return await self._run(job, stages)
        finally:
            stages.release()

    async def _run(self, job: RequestJob, stages: StageGraphRunner) -> Answer:
        try:
            async with asyncio.timeout(job.get_remaining_ms() / _MILLISECONDS):
                made = await stages.run()
        except TimeoutError:
            made = Err(
                UpstreamFailure(
                    outcome=Outcome.not_run,
                    reason=Reason.deadline_exceeded,
                    step='front',
                    peer=job.pool,
                ),
            )
        if isinstance(made, Err):
            return self._refuse(made.err_value)
        chosen = self._choose_engine(job)
        record = self.context.load_tracker.get(chosen)
        record.in_flight += 1
        sent_ms = get_monotonic_ms()
        reading = asyncio.get_running_loop().call_later(
            global_settings.ENGINE_INPUTS_READ_MS / _MILLISECONDS,
            stages.release,
        )
        try:
            await self._network.read_prompt(
                self.name, chosen, job.request_parameters
            )
        finally:
            reading.cancel()
            record.in_flight -= 1
        self.context.get_first_event_latency(ENGINES).record(
            job.request_parameters.prompt_tokens,
            get_monotonic_ms() - sent_ms,
        )
        self._network.generate(chosen, job.request_parameters.output_tokens)
        return Answer(is_served=True)

    def _choose_engine(self, job: RequestJob) -> str:
        chosen = choose_upstream(
            self.context.directory.get_pool(ENGINES),
            self.context.load_tracker,
            UpstreamCriteria(
                affinity_key=job.request_parameters.get_affinity_key()
            ),
            get_monotonic_ms(),
            self.context.rng,
        )
        return chosen.instance

    def _make_terms(
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

    def _refuse(self, failure: UpstreamFailure) -> Answer:
        response = refuse(failure, self.context.rng)
        after_s = float(response.headers.get('Retry-After', 0))
        return Answer(
            is_served=False,
            reason=failure.reason,
            retry_after_ms=after_s * _MILLISECONDS,
        )

    async def _send(
        self,
        context: GatewayContext,
        call: PieceCall,
    ) -> Result[Found, UpstreamFailure]:
        pieces = tuple(waiting.piece for waiting in call.pieces)
        instance = self._network.stages[call.instance.instance]
        await self._network.travel(self.name)
        try:
            found = await instance.run(pieces, self._network.stages)
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
        await self._network.travel(self.name)
        return Ok(found)

    async def _ask_working(
        self,
        context: GatewayContext,
        instance: UpstreamInstance,
    ) -> bool | None:
        await self._network.travel(self.name)
        return self._network.stages[instance.instance].is_working()

    async def _free_at(
        self,
        context: GatewayContext,
        maker: str,
        handles: tuple[str, ...],
    ) -> None:
        await self._network.travel(self.name)
        instance: StageInstance = self._network.stages[maker]
        for handle in handles:
            instance.free(handle)

    async def _ask(
        self,
        context: GatewayContext,
        host: GatewayMember,
        pool: str,
        pieces: tuple[Piece, ...],
    ) -> Result[Found, str]:
        if not await self._network.reach(self.name, host.instance):
            return Err('no connection')
        peer = self._network.gateways[host.instance]
        peer.service.requesters.record_request(
            self.context.incarnation, get_monotonic_ms()
        )
        found = await peer.service.run(pool, pieces)
        if not await self._network.reach(host.instance, self.name):
            return Err('connection lost')
        return Ok(found)

    async def _tell(
        self,
        context: GatewayContext,
        host: GatewayMember,
        release: ResultsRelease,
    ) -> bool:
        if not await self._network.reach(self.name, host.instance):
            return False
        peer = self._network.gateways[host.instance]
        peer.service.release(release.pool, release.handles)
        return True

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(
                global_settings.SCHEDULER_TICK_MS / _MILLISECONDS
            )
            await self._network.wait_awake(self.name)
            self.service.advance_all()
            self._deferral.start_ready()
