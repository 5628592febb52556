"""Admit requests from callers or refuse them."""

import asyncio

from aiohttp import web
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.exchange import RequestParameters, TypicalTimeLimits
from ragworthollow.outcomes import Outcome, Reason
from ragworthollow.platform.request_wire import read_request_parameters
from ragworthollow.quarantine import (
    make_fingerprint,
    make_key_fingerprint,
    make_part_fingerprints,
)
from ragworthollow.routes import KeyHolder, Route, RouteTable
from ragworthollow.utils import get_boottime_ms
from ragworthollow.utils.hashing import hash_secret
from ragworthollow_daemon.gateway.body_budget import BodyReservation
from ragworthollow_daemon.gateway.body_reader import BodyReader
from ragworthollow_daemon.gateway.context import GatewayContext
from ragworthollow_daemon.gateway.request_job import RequestJob
from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure

_STEP = 'front'
# Length of the key hash prefix in log lines; enough to distinguish keys.
_KEY_HASH_DIGITS = 12


class Admission:
    """
    Admit requests according to the active configuration.

    Parameters
    ----------
    context : GatewayContext
        Shared state of this process.
    """

    def __init__(self, *, context: GatewayContext) -> None:
        self._context = context
        self._typical_limits = TypicalTimeLimits()

    async def admit(
        self,
        request: web.BaseRequest,
        received_ms: float,
        reservation: BodyReservation,
    ) -> Result[RequestJob, UpstreamFailure]:
        """
        Admit or refuse a request, reading its body.

        Parameters
        ----------
        request : BaseRequest
            Request whose body has not been read yet.
        received_ms : float
            Time on the monotonic clock, in milliseconds, at which the
            request headers had arrived.
        reservation : BodyReservation
            Takes the memory of the body, until the caller gives it back.

        Returns
        -------
        Result
            The admitted request, or the refusal.
        """
        request_parameters = read_request_parameters(request.headers)
        table = await self._wait_for_route_table(request_parameters)
        if table is None:
            return _refuse(Reason.not_configured, request.remote)
        path = request.raw_path.partition('?')[0]
        route = table.match(request.headers.get('Host', ''), path)
        if route is None:
            return _refuse(Reason.unknown_route, path)
        holder_result = _find_key_holder(table, route, request_parameters.key)
        if isinstance(holder_result, Err):
            return holder_result
        limit_ms = route.timeout_ms
        if request_parameters.time_limit_ms is not None:
            limit_ms = min(limit_ms, request_parameters.time_limit_ms)
        body_reader = BodyReader(
            request=request,
            limit_bytes=table.limits.body_bytes,
            reservation=reservation,
        )
        body_result = await self._read_body(body_reader, limit_ms, route.name)
        if isinstance(body_result, Err):
            return body_result
        if not self._context.stop.accepts(route, limit_ms, get_boottime_ms()):
            return Err(make_shutdown_failure(route.name, Outcome.not_run))
        return Ok(
            RequestJob(
                request=request,
                body=body_result.ok_value,
                request_parameters=request_parameters,
                route=route,
                holder=holder_result.ok_value,
                # The attempt that began a stream decides, so that every
                # gateway takes it up in the pool in which it began.
                pool=route.choose_pool(
                    request_parameters.resumes_request_id
                    or request_parameters.request_id
                ),
                route_table=table,
                waited_ms=self._find_waited_ms(route, request_parameters),
                fingerprint=_make_work_fingerprint(
                    request,
                    holder_result.ok_value,
                    body_result.ok_value,
                ),
                part_fingerprints=make_part_fingerprints(
                    part.part for part in request_parameters.get_shared_parts()
                ),
                key_fingerprint=(
                    make_key_fingerprint(request_parameters.piece_key)
                    if request_parameters.piece_key
                    else ''
                ),
                received_ms=received_ms,
                deadline_ms=received_ms + limit_ms,
            ),
        )

    async def _wait_for_route_table(
        self,
        request_parameters: RequestParameters,
    ) -> RouteTable | None:
        """
        Return the active route table, waiting for the first one if needed.

        When all gateways restart before the store is available again, none
        of them has any routes, so refused callers can only retry at gateways
        without routes either.  Most of these outages end within a second
        or two.
        """
        context = self._context
        if (
            context.route_table is None
            and request_parameters.time_limit_ms is not None
        ):
            share = global_settings.CONFIGURATION_WAIT_SHARE
            await context.stop.run(
                context.wait_for_route_table(
                    request_parameters.time_limit_ms * share
                )
            )
        return context.route_table

    async def _read_body(
        self,
        body_reader: BodyReader,
        limit_ms: float,
        route_name: str,
    ) -> Result[bytes, UpstreamFailure]:
        """Read the full body, unless the process aborts it first."""
        reading = _read_in_time(body_reader, limit_ms, route_name)
        if body_reader.has_arrived():
            return await reading
        body_result = await self._context.stop.run(reading)
        if body_result is None:
            return Err(make_shutdown_failure(route_name, Outcome.not_run))
        return body_result

    def _find_waited_ms(
        self,
        route: Route,
        request_parameters: RequestParameters,
    ) -> float:
        if request_parameters.time_limit_ms is None:
            return 0
        return self._typical_limits.record(
            route.name, request_parameters.time_limit_ms
        )


def make_shutdown_failure(peer: str, outcome: Outcome) -> UpstreamFailure:
    """Make the failure of a request that is cut off by a shutdown."""
    return UpstreamFailure(
        outcome=outcome,
        reason=Reason.draining,
        step=_STEP,
        peer=peer,
        retry_after_ms=global_settings.GATEWAY_STOPPING_RETRY_MS,
    )


def make_refusal(
    reason: Reason,
    peer: str | None,
    detail: str = '',
    retry_after_ms: float | None = None,
) -> UpstreamFailure:
    """Make the failure of a request of which nothing was sent upstream."""
    return UpstreamFailure(
        outcome=Outcome.not_run,
        reason=reason,
        step=_STEP,
        peer=peer or '',
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def _refuse(
    reason: Reason,
    peer: str | None,
    detail: str = '',
) -> Err[UpstreamFailure]:
    return Err(make_refusal(reason, peer, detail))


def _describe_key(key: str) -> str:
    """Describe a key for operators without revealing it."""
    if not key:
        return 'no key'
    return f'key with SHA-256 {hash_secret(key)[:_KEY_HASH_DIGITS]}'


def _find_key_holder(
    table: RouteTable,
    route: Route,
    key: str,
) -> Result[KeyHolder | None, UpstreamFailure]:
    holder = table.find_key_holder(key) if key else None
    if holder is None and table.requires_key and not route.is_public:
        return _refuse(Reason.unauthorized, route.name, _describe_key(key))
    return Ok(holder)


def _make_work_fingerprint(
    request: web.BaseRequest,
    holder: KeyHolder | None,
    body: bytes,
) -> str:
    return make_fingerprint(
        organisation='' if holder is None else holder.organisation,
        method=request.method,
        host=request.headers.get('Host', ''),
        target=request.raw_path,
        body=body,
    )


async def _read_in_time(
    body_reader: BodyReader,
    limit_ms: float,
    route_name: str,
) -> Result[bytes, UpstreamFailure]:
    """
    Read the full body within the time limit of the request.

    Without a time limit, a caller that stops sending in the middle of the
    body would keep its connection open indefinitely.
    """
    try:
        async with asyncio.timeout(limit_ms / 1000):
            body_result = await body_reader.read()
    except TimeoutError:
        return _refuse(Reason.body_too_slow, route_name)
    if isinstance(body_result, Ok):
        return body_result
    reason = body_result.err_value
    if reason is Reason.memory_full:
        return Err(
            make_refusal(
                reason,
                route_name,
                body_reader.describe(),
                global_settings.BODY_MEMORY_RETRY_MS,
            )
        )
    return _refuse(reason, route_name)
