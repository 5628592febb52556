"""Steps of harmless requests that run beside one that crashes instances."""

import asyncio
from dataclasses import dataclass, field

from behave import given, then, when

from tests.fixtures.staged import NAMES
from tests.standins.upstream import CRASHING_KEY, UpstreamStandin

# Another one each time: the same would be quarantined after two crashes.
_HARMFUL_PATHS = {
    'plain': '/safe/harmful-{number}/crash',
    'stage': '/staged/harmful-{number}/answer',
}
# Long enough for pieces of several requests to meet in one call.
_PIECE_MS = 150
_READS_BETWEEN = 2 * len(NAMES)


@dataclass(kw_only=True)
class _Popular:
    """Hold what runs where, and what it has got."""

    pool: str
    path: str = ''
    number: int = 0
    answers: list = field(default_factory=list)


@given('one instance at a time for {pool:w} work')
def keep_one(context, pool):
    stage = context.gateway_stage
    context.popular = _Popular(pool=pool)
    for name in ('u1', 'u2') if pool == 'plain' else ('s1',):
        stage.run(stage.hide(name))
    stage.run(_replace(stage, context.popular))


async def _replace(stage, popular: _Popular) -> UpstreamStandin:
    """List another instance in place of the one that has crashed."""
    if popular.number:
        await stage.hide(_get_name(popular))
    popular.number += 1
    name = _get_name(popular)
    await stage.add_upstream(name, popular.pool)
    stage.upstreams[name].may_go_on.set()
    directories = [stage.get_context(one).directory for one in NAMES]
    await stage.wait_for(
        lambda: all(
            [entry.instance for entry in one.get_pool(popular.pool)] == [name]
            for one in directories
        ),
    )
    return stage.upstreams[name]


def _get_name(popular: _Popular) -> str:
    return f'only-{popular.number}'


def _make_headers(popular: _Popular, key: str) -> dict[str, str]:
    if popular.pool == 'plain':
        return {}
    return {
        'X-Ragworthollow-Pieces': '1,1',
        'X-Ragworthollow-Piece-Key': key,
    }


async def _send_popular(stage, popular: _Popular, gateway: str):
    return await stage.send(
        popular.path,
        gateway=gateway,
        headers=_make_headers(popular, 'popular'),
    )


def _count_popular(upstream: UpstreamStandin) -> int:
    """Count what has begun; pieces of all gateways wait behind one call."""
    return len(upstream.runs) + len(upstream.calls)


async def _crash(stage, popular: _Popular) -> None:
    """Crash the instance while the popular request runs for all gateways."""
    upstream = stage.upstreams[_get_name(popular)]
    upstream.may_go_on.clear()
    upstream.piece_ms = _PIECE_MS
    before = _count_popular(upstream)
    expected = len(NAMES) if popular.pool == 'plain' else 1
    running = [
        asyncio.ensure_future(_send_popular(stage, popular, name))
        for name in NAMES
    ]
    await stage.wait_for(
        lambda: _count_popular(upstream) >= before + expected,
    )
    await stage.send(
        _HARMFUL_PATHS[popular.pool].format(number=popular.number),
        headers=_make_headers(popular, CRASHING_KEY),
        limit_ms=1000,
    )
    assert upstream.has_crashed
    for sending in running:
        sending.cancel()
    await asyncio.gather(*running, return_exceptions=True)


@when(
    'a harmful request crashes it {count:d} times '
    'while a popular one to {path:S} runs there',
)
def plan_crashes(context, count, path):
    context.popular.path = path
    context.crashes = count


@when('the popular one ends well after each crash')
def crash_and_end_well(context):
    stage = context.gateway_stage
    stage.run(_crash_in_turn(stage, context.popular, context.crashes))


async def _crash_in_turn(stage, popular: _Popular, count: int) -> None:
    for _ in range(count):
        await _crash(stage, popular)
        await stage.wait_reads(_READS_BETWEEN)
        await _replace(stage, popular)
        popular.answers += await _end_well(stage, popular)
        await stage.wait_reads(_READS_BETWEEN)


async def _end_well(stage, popular: _Popular) -> list:
    return [await _send_popular(stage, popular, name) for name in NAMES]


@then('the popular request is served at each gateway')
def check_served(context):
    stage = context.gateway_stage
    context.popular.answers += stage.run(_end_well(stage, context.popular))
    statuses = [answer.status for answer in context.popular.answers]
    assert set(statuses) == {200}, statuses
