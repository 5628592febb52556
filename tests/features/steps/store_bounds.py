"""Steps of the time in which a change of the store is noticed."""

import asyncio
import contextlib

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from measure.fleet_model.virtual_time import run_virtually
from ragworthollow.conf import global_settings
from ragworthollow_daemon.gateway.poll_pace import poll_forever

_END_S = 30
_MOMENTS_MS = st.integers(0, 8000)
_EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True)


class _Store:
    """Answer polls, but for a while; note when each answered one was asked."""

    def __init__(self, answer_ms: int, away_from_ms: int, away_to_ms: int):
        self._answer_ms = answer_ms
        self._away_from_ms = away_from_ms
        self._away_to_ms = away_to_ms
        # When the answer was made at the store, and when it was here.
        self.answers: list[tuple[float, float]] = []

    async def poll(self) -> bool:
        loop = asyncio.get_running_loop()
        asked_ms = loop.time() * 1000
        if self._away_from_ms <= asked_ms < self._away_to_ms:
            await asyncio.sleep(global_settings.STORE_TIMEOUT_MS / 1000)
            return False
        await asyncio.sleep(self._answer_ms / 1000)
        self.answers.append((asked_ms, loop.time() * 1000))
        return True

    def find_seen_ms(self, changed_ms: float) -> float:
        """Return when a change was first seen."""
        return next(
            here_ms
            for asked_ms, here_ms in self.answers
            if asked_ms >= changed_ms
        )


def _run(answer_ms: int, away_from_ms: int, away_to_ms: int) -> _Store:
    store = _Store(answer_ms, away_from_ms, away_to_ms)

    async def poll_for_a_while():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_END_S):
                await poll_forever(
                    store.poll,
                    global_settings.STORE_POLL_MS,
                )

    run_virtually(poll_for_a_while())
    return store


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
        store = _run(context.answer_ms, away_from_ms, away_to_ms)
        seen_ms = store.find_seen_ms(changed_ms)
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
