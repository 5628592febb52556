"""Define steps for the delay until a store change is noticed."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from measure.fleet_model.virtual_time import run_virtually
from measure.replica_fleet.store_session import StoreSession
from ragworthollow.conf import global_settings
from ragworthollow.utils import override_clocks
from tests.fixtures.store_pollers import make_store_poller
from tests.standins.thin_link import BYTES_PER_MBIT

_OBSERVATION_S = 30
_CONFIGURATION = 'op/config'
_MOMENTS_MS = st.integers(0, 8000)
_EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True)


def _measure_delay_ms(answer_ms: int, outage: range, changed_ms: int) -> float:
    """Return the delay in ms until a change was read, across an outage."""
    session = StoreSession()
    session.answer_ms = answer_ms
    session.lost_ms = outage
    case = SimpleNamespace(size_bytes=1, is_mute=False, later_ms=0)
    return run_virtually(_measure_change_ms(case, session, changed_ms))


@given('polls that are answered in {answer_ms:d} ms and one of which is lost')
def lose_one_call(context, answer_ms):
    context.answer_ms = answer_ms
    # Any span shorter than the timeout contains the start of one call at most.
    context.max_outage_ms = global_settings.STORE_TIMEOUT_MS


@given(
    'polls that are answered in {answer_ms:d} ms during an outage of any length'
)
def make_store_unavailable(context, answer_ms):
    context.answer_ms = answer_ms
    context.max_outage_ms = 9000


@when('a change is accepted at any moment')
def change(context):
    context.cases = []

    @_EXAMPLES
    @given_any(_MOMENTS_MS, st.integers(1, context.max_outage_ms), _MOMENTS_MS)
    def explore(start_ms, outage_ms, changed_ms):
        end_ms = start_ms + outage_ms
        outage = range(start_ms, end_ms)
        delay_ms = _measure_delay_ms(context.answer_ms, outage, changed_ms)
        seen_ms = changed_ms + delay_ms
        context.cases.append((changed_ms, end_ms, seen_ms))

    explore()


@then('it is read within {bound_ms:d} ms')
def check_bound(context, bound_ms):
    worst = max(seen - changed for changed, _, seen in context.cases)
    assert worst <= bound_ms, worst


@then('it is read within {bound_ms:d} ms of the end of the outage')
def check_bound_after(context, bound_ms):
    worst = max(
        seen - max(changed, outage_end)
        for changed, outage_end, seen in context.cases
        if changed < outage_end
    )
    assert worst <= bound_ms, worst


class _ConfigurationSubscriber:
    """Record when each revision of the configuration was first read."""

    def __init__(self) -> None:
        self.seen_ms: dict[int, float] = {}

    def apply_entries(self, entries, _confirmed_ms) -> None:
        stored = entries.get(_CONFIGURATION)
        if stored is not None:
            now_ms = asyncio.get_running_loop().time() * 1000
            self.seen_ms.setdefault(stored.mod_revision, now_ms)

    def handle_store_unavailable(self, _detail) -> None:
        """Ignore failures to read the store."""


async def _measure_with_lost_call_ms(
    case, changed_ms: int, lost_from_ms: int
) -> float:
    """Return the delay in ms until a change was read; one call may be lost."""
    session = StoreSession(case.bytes_per_s)
    # Any span shorter than the timeout contains the start of one call at most.
    session.lost_ms = range(
        lost_from_ms,
        lost_from_ms + global_settings.STORE_TIMEOUT_MS,
    )
    return await _measure_change_ms(case, session, changed_ms)


async def _measure_change_ms(
    case, session: StoreSession, changed_ms: int
) -> float:
    loop = asyncio.get_running_loop()
    subscriber = _ConfigurationSubscriber()
    session.put(_CONFIGURATION, case.size_bytes)
    poller = make_store_poller(session, subscriber)
    with override_clocks(loop.get_ms):
        polling = asyncio.ensure_future(poller.run())
        await asyncio.sleep(changed_ms / 1000)
        session.is_mute = case.is_mute
        await asyncio.sleep(case.later_ms / 1000)
        revision = session.put(_CONFIGURATION, case.size_bytes)
        await asyncio.sleep(_OBSERVATION_S)
        polling.cancel()
    return subscriber.seen_ms[revision] - changed_ms - case.later_ms


@given(
    'a configuration of {size_kb:d} kB, a link of {mbit_per_s:d} Mbit/s '
    'and one lost call',
)
def configure_thin_link(context, size_kb, mbit_per_s):
    context.case = SimpleNamespace(
        size_bytes=size_kb * 1000,
        bytes_per_s=mbit_per_s * BYTES_PER_MBIT,
        is_mute=False,
        later_ms=0,
    )


@given('a store whose watches stop reporting at any moment')
def mute_watches(context):
    context.case = SimpleNamespace(
        size_bytes=1,
        bytes_per_s=float('inf'),
        is_mute=True,
        later_ms=0,
    )


@when('a change is accepted at any moment after that')
def change_while_muted(context):
    context.waits_ms = []

    @_EXAMPLES
    @given_any(st.integers(4000, 5000), st.integers(0, 2000))
    def explore(muted_ms, later_ms):
        context.case.later_ms = later_ms
        context.waits_ms.append(
            run_virtually(
                _measure_with_lost_call_ms(
                    context.case, muted_ms, _OBSERVATION_S * 1000
                )
            ),
        )

    explore()


@when('it changes at any moment')
def change_large(context):
    context.waits_ms = []

    @_EXAMPLES
    @given_any(st.integers(4000, 9000), _MOMENTS_MS)
    def explore(changed_ms, lost_from_ms):
        context.waits_ms.append(
            run_virtually(
                _measure_with_lost_call_ms(
                    context.case, changed_ms, lost_from_ms
                ),
            ),
        )

    explore()


@then('it is active within {bound_ms:d} ms')
def check_active(context, bound_ms):
    assert max(context.waits_ms) <= bound_ms, max(context.waits_ms)
