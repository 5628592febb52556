"""Behave steps for harmless requests that run beside a crashing request."""

import asyncio
from dataclasses import dataclass, field

from behave import given, then, when

from tests.fixtures.stage_requests import GATEWAY_NAMES
from tests.standins.upstream import CRASHING_KEY, UpstreamStandin

# Each crash uses a new path, as a request is quarantined after two crashes.
_HARMFUL_PATHS = {
    'plain': '/safe/harmful-{number}/crash',
    'stage': '/staged/harmful-{number}/answer',
}
# Long enough for pieces of several requests to share one call.
_PIECE_MS = 150
_STORE_READS_BETWEEN = 2 * len(GATEWAY_NAMES)


@dataclass(kw_only=True)
class _PopularRequest:
    """Hold the popular request, its only instance and its responses."""

    pool: str
    path: str = ''
    number: int = 0
    responses: list = field(default_factory=list)


@given('one instance at a time for {pool:w} work')
def list_one_instance(context, pool):
    stage = context.gateway_stage
    context.popular = _PopularRequest(pool=pool)
    for name in ('u1', 'u2') if pool == 'plain' else ('s1',):
        stage.run(stage.remove_instance(name))
    stage.run(_replace_instance(stage, context.popular))


async def _replace_instance(stage, popular: _PopularRequest) -> UpstreamStandin:
    """List a new instance in place of the crashed instance."""
    if popular.number:
        await stage.remove_instance(_get_instance_name(popular))
    popular.number += 1
    name = _get_instance_name(popular)
    await stage.add_upstream(name, popular.pool)
    stage.upstreams[name].resume_event.set()
    directories = [stage.get_context(one).directory for one in GATEWAY_NAMES]
    await stage.wait_for(
        lambda: all(
            [entry.instance for entry in one.get_pool(popular.pool)] == [name]
            for one in directories
        ),
    )
    return stage.upstreams[name]


def _get_instance_name(popular: _PopularRequest) -> str:
    return f'only-{popular.number}'


def _make_headers(popular: _PopularRequest, key: str) -> dict[str, str]:
    if popular.pool == 'plain':
        return {}
    return {
        'X-Ragworthollow-Pieces': '1,1',
        'X-Ragworthollow-Piece-Key': key,
    }


async def _send_popular(stage, popular: _PopularRequest, gateway: str):
    return await stage.send(
        popular.path,
        gateway=gateway,
        headers=_make_headers(popular, 'popular'),
    )


def _count_started(upstream: UpstreamStandin) -> int:
    """Count the runs and calls that have started.

    Pieces of all gateways wait behind one call, so only one call starts.
    """
    return len(upstream.runs) + len(upstream.calls)


async def _crash_instance(stage, popular: _PopularRequest) -> None:
    """Crash the instance while the popular request runs for all gateways."""
    upstream = stage.upstreams[_get_instance_name(popular)]
    upstream.resume_event.clear()
    upstream.piece_ms = _PIECE_MS
    started_before = _count_started(upstream)
    expected = len(GATEWAY_NAMES) if popular.pool == 'plain' else 1
    running = [
        asyncio.ensure_future(_send_popular(stage, popular, name))
        for name in GATEWAY_NAMES
    ]
    await stage.wait_for(
        lambda: _count_started(upstream) >= started_before + expected,
    )
    await stage.send(
        _HARMFUL_PATHS[popular.pool].format(number=popular.number),
        headers=_make_headers(popular, CRASHING_KEY),
        limit_ms=1000,
    )
    assert upstream.has_crashed
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


@when(
    'a harmful request crashes it {count:d} times '
    'while a popular one to {path:S} runs there',
)
def plan_crashes(context, count, path):
    context.popular.path = path
    context.crashes = count


@when('the popular request succeeds after each crash')
def crash_and_send_again(context):
    stage = context.gateway_stage
    stage.run(_crash_repeatedly(stage, context.popular, context.crashes))


async def _crash_repeatedly(
    stage, popular: _PopularRequest, count: int
) -> None:
    for _ in range(count):
        await _crash_instance(stage, popular)
        await stage.wait_for_reads(_STORE_READS_BETWEEN)
        await _replace_instance(stage, popular)
        popular.responses += await _send_from_all_gateways(stage, popular)
        await stage.wait_for_reads(_STORE_READS_BETWEEN)


async def _send_from_all_gateways(stage, popular: _PopularRequest) -> list:
    return [await _send_popular(stage, popular, name) for name in GATEWAY_NAMES]


@then('the popular request is served at each gateway')
def check_served(context):
    stage = context.gateway_stage
    context.popular.responses += stage.run(
        _send_from_all_gateways(stage, context.popular)
    )
    statuses = [response.status for response in context.popular.responses]
    assert set(statuses) == {200}, statuses
