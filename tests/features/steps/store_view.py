"""Behave steps for the replica of the store that a gateway keeps."""

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
from tests.fixtures.store_pollers import make_store_poller

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


class _RevisionSkippingClient(StoreClient):
    """Continue from the store's revision, whatever changes were received."""

    async def read_changes(self, prefix, *, after_revision, max_bytes):
        response = await super().read_changes(
            prefix,
            after_revision=after_revision,
            max_bytes=max_bytes,
        )
        revision = self.session.revision
        return response.map(
            lambda changes: (
                changes
                and replace(changes, revision=revision, is_complete=True)
            ),
        )


class _Copy:
    """Compare the entries that a poller applies with those of the store."""

    def __init__(self, make_client) -> None:
        self.session = StoreSession()
        self._poller = make_store_poller(
            self.session,
            self,
            make_client=make_client,
        )
        self.is_same = True

    def apply_entries(self, entries, _sent_ms) -> None:
        applied = {key: entry.mod_revision for key, entry in entries.items()}
        stored = {
            key: entry['rev'] for key, entry in self.session.found.items()
        }
        self.is_same &= applied == stored

    def handle_store_unavailable(self, _detail) -> None:
        """Ignore the failure; later polls are compared."""

    async def play(self, moves) -> None:
        with override_clocks(asyncio.get_running_loop().get_ms):
            await self._poller.poll()
            for move, key in moves:
                await self._apply_move(move, key)

    async def _apply_move(self, move: str, key: str) -> None:
        if move == 'poll':
            await self._poller.poll()
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


@when(
    'a store is written, stops reporting changes and drops its history in any '
    'order'
)
def explore_polls(context):
    context.outcomes = _explore(StoreClient)


@when('a gateway that continues from the revision of each response polls them')
def explore_polls_skipping_revisions(context):
    context.outcomes = _explore(_RevisionSkippingClient)


@then("the gateway's replica equals the store after each poll that is answered")
def check_same(context):
    assert all(context.outcomes)


@then('its replica differs from the store')
def check_differs(context):
    assert not all(context.outcomes)
