"""Define steps for instance records that expire in a store outage."""

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
from tests.fixtures.store_pollers import make_store_poller

_KEYS = ('servers/a', 'servers/b')
_OUTAGE_START_MS = st.integers(5000, 15_000)
_MAX_OUTAGE_MS = 9000
# Run time after the last change of the store.
_RUN_MS = 9000
# Records expire three heartbeat intervals after the last heartbeat. Up to one
# interval may have passed when the outage starts, so two is the earliest.
_MIN_LAPSE_MS = 2 * global_settings.INSTANCE_HEARTBEAT_MS
_EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)


class _DirectorySubscriber:
    """Maintain a directory from the records of the store."""

    def __init__(self) -> None:
        self.directory = Directory()
        self.removed_ms: dict[str, float] = {}

    def apply_entries(self, entries, confirmed_ms) -> None:
        listed = [
            UpstreamInstance(
                instance=key,
                pool='p',
                address='',
                failure_domain='one',
                slots=1,
            )
            for key in entries
        ]
        change = self.directory.replace(listed, confirmed_ms)
        now_ms = asyncio.get_running_loop().time() * 1000
        self.removed_ms.update(dict.fromkeys(change.left, now_ms))

    def handle_store_unavailable(self, _detail) -> None:
        self.directory.record_outage()


async def _run_poller(
    context, outage: range, change_store
) -> _DirectorySubscriber:
    """
    Poll a store through an outage while its records change.

    Parameters
    ----------
    context : behave.runner.Context
        Provides `bound_ms`, the bound on the delay of store changes.
    outage : range
        Times of the loop in ms; calls begun within it are never answered.
    change_store : callable
        Coroutine function that changes records of the session given to it.

    Returns
    -------
    _DirectorySubscriber
        Its `removed_ms` maps each removed instance to its time of removal.
    """
    loop = asyncio.get_running_loop()
    session = StoreSession()
    for key in _KEYS:
        session.put(key)
    subscriber = _DirectorySubscriber()
    poller = make_store_poller(session, subscriber, bound_ms=context.bound_ms)
    session.lost_ms = outage
    with override_clocks(loop.get_ms):
        polling = asyncio.ensure_future(poller.run())
        await change_store(session)
        await asyncio.sleep(_RUN_MS / 1000)
        polling.cancel()
    return subscriber


async def _sleep_until(at_ms: float) -> None:
    now_ms = asyncio.get_running_loop().time() * 1000
    await asyncio.sleep((at_ms - now_ms) / 1000)


@given('a bound of {bound_ms:d} ms and an outage of any length')
def set_bound(context, bound_ms):
    context.bound_ms = bound_ms


@when('an instance leaves at any moment from {after_ms:d} ms after its end on')
def leave(context, after_ms):
    context.waits_ms = []

    @_EXAMPLES
    @given_any(
        _OUTAGE_START_MS,
        st.integers(1, _MAX_OUTAGE_MS),
        st.integers(after_ms, after_ms + 3000),
    )
    def explore(start_ms, outage_ms, delay_ms):
        outage = range(start_ms, start_ms + outage_ms)
        leave_ms = outage.stop + delay_ms

        async def change_store(session) -> None:
            await _sleep_until(leave_ms)
            session.remove(_KEYS[0])

        subscriber = run_virtually(_run_poller(context, outage, change_store))
        context.waits_ms.append(subscriber.removed_ms[_KEYS[0]] - leave_ms)

    explore()


@then('it gets nothing {seen_ms:d} ms later')
def check_removed(context, seen_ms):
    assert max(context.waits_ms) <= seen_ms, max(context.waits_ms)


@when(
    'the records of live instances expire in it and are written again '
    '{back_ms:d} ms after its end'
)
def expire_entries(context, back_ms):
    context.dropped = []

    @_EXAMPLES
    @given_any(_OUTAGE_START_MS, st.integers(_MIN_LAPSE_MS, _MAX_OUTAGE_MS))
    def explore(start_ms, outage_ms):
        outage = range(start_ms, start_ms + outage_ms)

        async def change_store(session) -> None:
            await _sleep_until(outage.start + _MIN_LAPSE_MS)
            for key in _KEYS:
                session.remove(key)
            await _sleep_until(outage.stop + back_ms)
            for key in _KEYS:
                session.put(key)

        subscriber = run_virtually(_run_poller(context, outage, change_store))
        context.dropped += subscriber.removed_ms

    explore()


@then('none is ever dropped')
def check_none_dropped(context):
    assert not context.dropped, context.dropped
