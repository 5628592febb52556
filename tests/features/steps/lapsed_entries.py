"""Steps of entries of instances that lapse in an outage of the store."""

import asyncio

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from measure.fleet_model.virtual_time import run_virtually
from measure.replica_fleet.store_session import StoreSession
from ragworthollow.conf import global_settings
from ragworthollow.upstreams import Directory, UpstreamInstance
from ragworthollow.utils import override_clocks
from tests.fixtures.store_followers import make_follower

_KEYS = ('servers/a', 'servers/b')
_AWAY_FROM_MS = st.integers(5000, 15_000)
_AWAY_MS = 9000
_END_MS = 9000
# Entries end after three heartbeats of silence, of which one may be due.
_LAPSE_MS = 2 * global_settings.INSTANCE_HEARTBEAT_MS
_EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)


class _Lister:
    """Keep a directory by what the store holds."""

    def __init__(self) -> None:
        self.directory = Directory()
        self.left_ms: dict[str, float] = {}

    def apply_entries(self, found, proved_ms) -> None:
        listed = [
            UpstreamInstance(
                instance=key,
                pool='p',
                address='',
                failure_domain='one',
                slots=1,
            )
            for key in found
        ]
        change = self.directory.replace(listed, proved_ms)
        now_ms = asyncio.get_running_loop().time() * 1000
        self.left_ms.update(dict.fromkeys(change.left, now_ms))

    def handle_store_unavailable(self, _detail) -> None:
        self.directory.record_outage()


async def _play(context, away: range, befall) -> _Lister:
    """Follow a store that is away for a while; return who was dropped when."""
    loop = asyncio.get_running_loop()
    session = StoreSession()
    for key in _KEYS:
        session.put(key)
    lister = _Lister()
    follower = make_follower(session, lister, bound_ms=context.bound_ms)
    session.lost_ms = away
    with override_clocks(loop.get_ms):
        following = asyncio.ensure_future(follower.run())
        await befall(session)
        await asyncio.sleep(_END_MS / 1000)
        following.cancel()
    return lister


async def _sleep_until(at_ms: float) -> None:
    now_ms = asyncio.get_running_loop().time() * 1000
    await asyncio.sleep((at_ms - now_ms) / 1000)


@given('a bound of {bound_ms:d} ms and an outage of any length')
def take_bound(context, bound_ms):
    context.bound_ms = bound_ms


@when('an instance leaves at any moment from {after_ms:d} ms after its end on')
def leave(context, after_ms):
    context.waits_ms = []

    @_EXAMPLES
    @given_any(
        _AWAY_FROM_MS,
        st.integers(1, _AWAY_MS),
        st.integers(after_ms, after_ms + 3000),
    )
    def explore(from_ms, away_ms, later_ms):
        away = range(from_ms, from_ms + away_ms)
        left_ms = away.stop + later_ms

        async def befall(session) -> None:
            await _sleep_until(left_ms)
            session.remove(_KEYS[0])

        lister = run_virtually(_play(context, away, befall))
        context.waits_ms.append(lister.left_ms[_KEYS[0]] - left_ms)

    explore()


@then('it gets nothing {seen_ms:d} ms later')
def check_left(context, seen_ms):
    assert max(context.waits_ms) <= seen_ms, max(context.waits_ms)


@when(
    'the entries of live instances lapse in it '
    'and are back {back_ms:d} ms after its end',
)
def lapse(context, back_ms):
    context.dropped = []

    @_EXAMPLES
    @given_any(_AWAY_FROM_MS, st.integers(_LAPSE_MS, _AWAY_MS))
    def explore(from_ms, away_ms):
        away = range(from_ms, from_ms + away_ms)

        async def befall(session) -> None:
            await _sleep_until(away.start + _LAPSE_MS)
            for key in _KEYS:
                session.remove(key)
            await _sleep_until(away.stop + back_ms)
            for key in _KEYS:
                session.put(key)

        lister = run_virtually(_play(context, away, befall))
        context.dropped += lister.left_ms

    explore()


@then('none is ever dropped')
def check_kept(context):
    assert not context.dropped, context.dropped
