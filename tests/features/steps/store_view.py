"""Steps of the copy of the store that a gateway keeps."""

import asyncio
from dataclasses import replace

from behave import then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from measure.fleet_model.virtual_time import run_virtually
from measure.replica_fleet.store_session import StoreSession
from ragworthollow.platform import StoreClient
from ragworthollow.utils import override_clocks
from tests.fixtures.store_followers import make_follower

_KEYS = st.sampled_from(('op/config', 'servers/a', 'servers/b'))
_MOVES = st.lists(
    st.one_of(
        st.tuples(st.just('put'), _KEYS),
        st.tuples(st.just('remove'), _KEYS),
        st.tuples(
            st.sampled_from(('fall_deaf', 'fall_mute', 'drop_history', 'poll')),
            st.just(''),
        ),
    ),
    max_size=30,
)
_EXAMPLES = settings(max_examples=400, deadline=None, derandomize=True)


class _HastyClient(StoreClient):
    """Go on from the revision of the store, whatever was heard."""

    async def read_changes(self, prefix, *, after_revision, max_bytes):
        answer = await super().read_changes(
            prefix,
            after_revision=after_revision,
            max_bytes=max_bytes,
        )
        revision = self.session.revision
        return answer.map(
            lambda changes: (
                changes
                and replace(changes, revision=revision, is_complete=True)
            ),
        )


class _Copy:
    """Compare what a follower is told with the store, after each poll."""

    def __init__(self, make_client) -> None:
        self.session = StoreSession()
        self._follower = make_follower(
            self.session,
            self,
            make_client=make_client,
        )
        self.is_same = True

    def apply_entries(self, found, _asked_ms) -> None:
        held = {key: one.mod_revision for key, one in found.items()}
        there = {key: one['rev'] for key, one in self.session.found.items()}
        self.is_same &= held == there

    def handle_store_unavailable(self, _detail) -> None:
        """Go on."""

    async def play(self, moves) -> None:
        with override_clocks(asyncio.get_running_loop().get_ms):
            await self._follower.poll()
            for move, key in moves:
                await self._make(move, key)

    async def _make(self, move: str, key: str) -> None:
        if move == 'poll':
            await self._follower.poll()
        elif key:
            getattr(self.session, move)(key)
        else:
            getattr(self.session, move)()


def _explore(make_client) -> list[bool]:
    outcomes = []

    @_EXAMPLES
    @given_any(_MOVES)
    def play(moves):
        copy = _Copy(make_client)
        run_virtually(copy.play([*moves, ('drop_history', ''), ('poll', '')]))
        outcomes.append(copy.is_same)

    play()
    return outcomes


@when('a store is written, falls silent and drops its history in any order')
def follow(context):
    context.outcomes = _explore(StoreClient)


@when('a gateway that goes on from the revision of each answer follows them')
def follow_hastily(context):
    context.outcomes = _explore(_HastyClient)


@then("the gateway's copy is the store's after each poll that is answered")
def check_same(context):
    assert all(context.outcomes)


@then("its copy differs from the store's")
def check_differs(context):
    assert not all(context.outcomes)
