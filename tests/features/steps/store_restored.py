"""Steps of a store that comes back from a copy."""

import asyncio
import base64

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from measure.fleet_model.virtual_time import run_virtually
from measure.replica_fleet.store_session import StoreSession
from ragworthollow.replica import Replica
from ragworthollow.utils import use_monotonic
from tests.fixtures.store_followers import make_follower

_KEYS = st.sampled_from(('op/config', 'servers/a', 'servers/b'))
_SILENCES = ('fall_deaf', 'fall_mute', 'drop_history')
_ACTIONS = ('save', 'restore', 'poll', 'poll', *_SILENCES)
_MOVES = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(('put', 'remove')), _KEYS),
        st.tuples(st.sampled_from(_ACTIONS), st.just('')),
    ),
    min_size=20,
    max_size=40,
)
_EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True)


@given('the store was copied, and has gone on for {count:d} revisions')
def go_on(context, count):
    stage = context.gateway_stage
    context.saved = stage.store.save()

    async def write() -> None:
        for number in range(count):
            await stage.write({'op/other': str(number)})
        replica = stage.get_context().replica
        await stage.wait_for(
            lambda: replica.view.revision >= stage.store.revision,
        )

    stage.run(write())


@when('the store comes back from its copy')
def restore(context):
    context.gateway_stage.store.restore(context.saved)


@when('the operators write version {version:d} without the route of {prefix:S}')
def remove_route(context, version, prefix):
    stage = context.gateway_stage
    routes = [
        one
        for one in stage.configuration['routes']
        if one['path_prefix'] != prefix
    ]
    stage.run(stage.configure(version=version, routes=routes))


@then('version {version:d} is in force')
def check_version(context, version):
    stage = context.gateway_stage
    gateway = stage.get_context()
    stage.run(stage.wait_for(lambda: gateway.table.version == version))


@then('a caller of {path:S} is answered {status:d}')
def check_answered(context, path, status):
    stage = context.gateway_stage
    answer = stage.run(stage.send(path))
    assert answer.status == status, answer


class _Comparison:
    """Compare what a gateway holds with the store, after each poll."""

    def __init__(self) -> None:
        self.session = StoreSession()
        self.is_same = True
        self._replica = Replica()
        self._follower = make_follower(
            self.session,
            self,
            replica=self._replica,
        )

    def take(self, _found, _asked_ms) -> None:
        """Compare the copy itself."""
        held = {key: one.text for key, one in self._replica.view.found.items()}
        there = {
            key: base64.b64decode(one['value']).decode()
            for key, one in self.session.found.items()
        }
        self.is_same &= held == there

    def note_lost(self, _detail) -> None:
        """Go on."""

    async def play(self, moves) -> None:
        with use_monotonic(asyncio.get_running_loop().get_ms):
            await self._follower.poll()
            for move, key in moves:
                if move == 'poll':
                    await self._follower.poll()
                else:
                    getattr(self.session, move)(*filter(None, (key,)))


@when('a store is written, copied, restored and silent in any order')
def explore_restores(context):
    outcomes = []

    @_EXAMPLES
    @given_any(_MOVES)
    def play(moves):
        comparison = _Comparison()
        run_virtually(comparison.play(moves))
        outcomes.append(comparison.is_same)

    play()
    context.outcomes = outcomes


@then('the gateway holds what the store holds after each poll that is answered')
def check_same(context):
    assert all(context.outcomes), context.outcomes.count(False)
