"""Steps of the time in which a change of the store is noticed."""

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
from tests.fixtures.store_followers import make_follower
from tests.standins.thin_link import BYTES_PER_MBIT

_END_S = 30
_CONFIGURATION = 'op/config'
_MOMENTS_MS = st.integers(0, 8000)
_EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True)


def _run(answer_ms: int, away_ms: range, changed_ms: int) -> float:
    """Return how long it took until a change was seen."""
    session = StoreSession()
    session.answer_ms = answer_ms
    session.lost_ms = away_ms
    case = SimpleNamespace(size_bytes=1, is_mute=False, later_ms=0)
    return run_virtually(_change(case, session, changed_ms))


@given('polls that are answered in {answer_ms:d} ms and one of which is lost')
def lose_one(context, answer_ms):
    context.answer_ms = answer_ms
    # Any span shorter than the timeout contains the start of one call at most.
    context.longest_ms = global_settings.STORE_TIMEOUT_MS


@given(
    'polls that are answered in {answer_ms:d} ms during an outage of any length'
)
def be_away(context, answer_ms):
    context.answer_ms = answer_ms
    context.longest_ms = 9000


@when('a change is accepted at any moment')
def change(context):
    context.cases = []

    @_EXAMPLES
    @given_any(_MOMENTS_MS, st.integers(1, context.longest_ms), _MOMENTS_MS)
    def explore(away_from_ms, away_ms, changed_ms):
        away_to_ms = away_from_ms + away_ms
        away = range(away_from_ms, away_to_ms)
        waited_ms = _run(context.answer_ms, away, changed_ms)
        seen_ms = changed_ms + waited_ms
        context.cases.append((changed_ms, away_to_ms, seen_ms))

    explore()


@then('it is read within {bound_ms:d} ms')
def check_bound(context, bound_ms):
    worst = max(seen - changed for changed, _, seen in context.cases)
    assert worst <= bound_ms, worst


@then('it is read within {bound_ms:d} ms of the end of the outage')
def check_bound_after(context, bound_ms):
    worst = max(
        seen - max(changed, away_to)
        for changed, away_to, seen in context.cases
        if changed < away_to
    )
    assert worst <= bound_ms, worst


class _Watcher:
    """Note when each version of the configuration was first seen."""

    def __init__(self) -> None:
        self.seen_ms: dict[int, float] = {}

    def apply_entries(self, found, _asked_ms) -> None:
        stored = found.get(_CONFIGURATION)
        if stored is not None:
            now_ms = asyncio.get_running_loop().time() * 1000
            self.seen_ms.setdefault(stored.mod_revision, now_ms)

    def handle_store_unavailable(self, _detail) -> None:
        """Go on."""


async def _change_once(case, changed_ms: int, lost_from_ms: int) -> float:
    """Return how long it took until a change was seen."""
    session = StoreSession(case.bytes_per_s)
    # Any span shorter than the timeout contains the start of one call at most.
    session.lost_ms = range(
        lost_from_ms,
        lost_from_ms + global_settings.STORE_TIMEOUT_MS,
    )
    return await _change(case, session, changed_ms)


async def _change(case, session: StoreSession, changed_ms: int) -> float:
    loop = asyncio.get_running_loop()
    watcher = _Watcher()
    session.put(_CONFIGURATION, case.size_bytes)
    follower = make_follower(session, watcher)
    with override_clocks(loop.get_ms):
        polling = asyncio.ensure_future(follower.run())
        await asyncio.sleep(changed_ms / 1000)
        session.is_mute = case.is_mute
        await asyncio.sleep(case.later_ms / 1000)
        revision = session.put(_CONFIGURATION, case.size_bytes)
        await asyncio.sleep(_END_S)
        polling.cancel()
    return watcher.seen_ms[revision] - changed_ms - case.later_ms


@given(
    'a configuration of {size_kb:d} kB, a link of {mbit_per_s:d} Mbit/s '
    'and one lost call',
)
def behind_thin_link(context, size_kb, mbit_per_s):
    context.case = SimpleNamespace(
        size_bytes=size_kb * 1000,
        bytes_per_s=mbit_per_s * BYTES_PER_MBIT,
        is_mute=False,
        later_ms=0,
    )


@given('a store whose watches fall silent at any moment')
def fall_silent(context):
    context.case = SimpleNamespace(
        size_bytes=1,
        bytes_per_s=float('inf'),
        is_mute=True,
        later_ms=0,
    )


@when('a change is accepted at any moment after that')
def change_in_silence(context):
    context.waits_ms = []

    @_EXAMPLES
    @given_any(st.integers(4000, 5000), st.integers(0, 2000))
    def explore(silent_ms, later_ms):
        context.case.later_ms = later_ms
        context.waits_ms.append(
            run_virtually(_change_once(context.case, silent_ms, _END_S * 1000)),
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
                _change_once(context.case, changed_ms, lost_from_ms),
            ),
        )

    explore()


@then('it is in force within {bound_ms:d} ms')
def check_in_force(context, bound_ms):
    assert max(context.waits_ms) <= bound_ms, max(context.waits_ms)
