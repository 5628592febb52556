"""Read and watch the platform's store."""

import base64
from collections.abc import AsyncIterator
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
import msgspec
from result import Err, Ok, Result

from ragworthollow.conf import global_settings
from ragworthollow.platform.exceptions import PlatformError
from ragworthollow.platform.store_changes import StoreChanges
from ragworthollow.platform.store_position import StorePosition
from ragworthollow.platform.store_snapshot import StoreSnapshot
from ragworthollow.platform.store_transport import (
    UNLIMITED_BYTES,
    StoreTransport,
)
from ragworthollow.platform.store_wire import Item, RangePage, WatchPage
from ragworthollow.platform.stored import Stored


@dataclass(frozen=True, kw_only=True, slots=True)
class _Heard:
    """Hold what a watch answered, and in which timeline."""

    page: WatchPage
    timeline: int


class StoreReader:
    """
    Read and watch keys of the store.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to call with.
    base_url : str
        Address of the store.
    prefix : str
        Put before every key; keys that others write have none.
    timeout_ms : float
        Longest time without a byte of an answer.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        base_url: str,
        prefix: str = '',
        timeout_ms: float = global_settings.STORE_TIMEOUT_MS,
    ) -> None:
        self._transport = StoreTransport(
            session=session,
            base_url=base_url,
            timeout_ms=timeout_ms,
        )
        self._prefix = prefix

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._transport.calls

    @property
    def timeline(self) -> int:
        """Return how often the store is known to have been restored."""
        return self._transport.timeline

    async def read(self, key: str) -> Result[Stored, PlatformError]:
        """
        Read one key, linearizably.

        Returns
        -------
        Result
            What is stored, absent keys included, or the store's failure.
        """
        answer = await self._transport.call(
            'GET',
            '/api/kv-key',
            query={'key': f'{self._prefix}{key}'},
            absent_status=HTTPStatus.NOT_FOUND,
        )
        return answer.map(
            lambda one: (
                Stored(timeline=one.timeline)
                if one.body is None
                else _to_stored(
                    msgspec.json.decode(one.body, type=Item),
                    one.timeline,
                )
            ),
        )

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[StoreSnapshot, PlatformError]:
        """
        Read all keys that begin with `prefix`.

        Pages are no snapshot by themselves; an error on any of them is an
        error of all, so that a part of a list never passes for the whole.
        """
        found: dict[str, Stored] = {}
        revision = 0
        size_bytes = 0
        timelines = set()
        query = {'path_prefix': f'{self._prefix}{prefix}'}
        while True:
            answer = await self._transport.call(
                'GET',
                '/api/kv-range',
                query=query,
            )
            if isinstance(answer, Err):
                return answer
            body = answer.ok_value.body
            timeline = answer.ok_value.timeline
            timelines.add(timeline)
            page = msgspec.json.decode(body, type=RangePage)
            revision = revision or page.as_of
            size_bytes += len(body)
            found.update(
                (one.key.removeprefix(self._prefix), _to_stored(one, timeline))
                for one in page.items
            )
            if len(timelines) > 1:
                return Err(self._explain_restored())
            if not page.has_more or not page.items:
                return Ok(
                    StoreSnapshot(
                        found=found,
                        revision=revision,
                        size_bytes=size_bytes,
                        timeline=timeline,
                    ),
                )
            query['after'] = page.items[-1].key

    async def read_changes(
        self,
        prefix: str,
        *,
        after_revision: int,
        longest_bytes: int,
    ) -> Result[StoreChanges | None, PlatformError]:
        """
        Read what became of the keys under a prefix after a revision.

        A watch that does not wait answers at once.  It may hear nothing while
        changes are made; the store drops their history before it says of
        anything later.  So the revision of the last change that was heard is
        where the next question has to start: the revision that the answer
        gives for the whole store would step over what was not heard.

        Parameters
        ----------
        prefix : str
            Of the keys.
        after_revision : int
            Of the last change that is known.
        longest_bytes : int
            Size from which reading everything is shorter: each change
            comes with its whole value.

        Returns
        -------
        Result
            The changes; None where everything has to be read, since the
            history is no longer kept or is too long.
        """
        answer = await self._call_watch(
            prefix,
            after_revision=after_revision,
            wait_ms=0,
            longest_bytes=longest_bytes,
        )
        return answer.map(
            lambda heard: (
                None
                if heard is None or heard.page.as_of < after_revision
                else self._to_changes(heard, after_revision)
            ),
        )

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> Result[_Heard | None, PlatformError]:
        """
        Wait for changes of keys that begin with `prefix`.

        Returns
        -------
        Result
            The changes, perhaps none; None when the history after
            `after_revision` is no longer kept and the keys must be read.
        """
        return await self._call_watch(
            prefix,
            after_revision=after_revision,
            wait_ms=wait_ms,
        )

    async def follow(
        self,
        key: str,
        *,
        after: StorePosition,
        idle_ms: float,
    ) -> AsyncIterator[Stored]:
        """
        Yield each change of one key until the store or its history is away.

        Parameters
        ----------
        key : str
            The key.
        after : StorePosition
            Up to which the key is known, so that no change falls between a
            read and the watch.
        idle_ms : float
            Silence after which the watch ends; the caller reads the key
            then, since watches may be silent while changes are made.
        """
        wait_ms = int(min(idle_ms, global_settings.WATCH_WAIT_MS))
        idle_left_ms = idle_ms
        after_revision = after.revision
        while idle_left_ms > 0:
            answer = await self.watch(
                key,
                after_revision=after_revision,
                wait_ms=wait_ms,
            )
            if isinstance(answer, Err) or answer.ok_value is None:
                return
            page = answer.ok_value.page
            if answer.ok_value.timeline != after.timeline:
                return
            after_revision = max(after_revision, page.as_of)
            idle_left_ms = idle_ms if page.events else idle_left_ms - wait_ms
            for event in page.events:
                if not event.tombstone:
                    yield _to_stored(event, after.timeline)

    async def _call_watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
        longest_bytes: float = UNLIMITED_BYTES,
    ) -> Result[_Heard | None, PlatformError]:
        answer = await self._transport.call(
            'GET',
            '/api/kv-watch',
            query={
                'path_prefix': f'{self._prefix}{prefix}',
                'after': str(after_revision),
                'wait_ms': str(wait_ms),
            },
            absent_status=HTTPStatus.GONE,
            extra_ms=wait_ms,
            longest_bytes=longest_bytes,
        )
        return answer.map(
            lambda one: (
                None
                if one.body is None
                else _Heard(
                    page=msgspec.json.decode(one.body, type=WatchPage),
                    timeline=one.timeline,
                )
            ),
        )

    def _explain_restored(self) -> PlatformError:
        return PlatformError(
            step='/api/kv-range',
            peer='store',
            detail='restored between two pages',
            may_have_applied=False,
        )

    def _to_changes(self, heard: _Heard, after_revision: int) -> StoreChanges:
        page = heard.page
        last = {
            event.key.removeprefix(self._prefix): event for event in page.events
        }
        revision = max(
            (event.rev for event in page.events),
            default=after_revision,
        )
        return StoreChanges(
            written={
                key: _to_stored(event, heard.timeline)
                for key, event in last.items()
                if not event.tombstone
            },
            removed={
                key: event.rev for key, event in last.items() if event.tombstone
            },
            revision=revision,
            is_whole=page.as_of <= revision,
            timeline=heard.timeline,
        )


def _to_stored(item: Item, timeline: int) -> Stored:
    return Stored(
        # Values are any bytes; one that is no text belongs to somebody else,
        # and must not spoil a read of everything.
        text=base64.b64decode(item.encoded).decode(errors='replace'),
        mod_revision=item.rev,
        create_revision=item.create_revision,
        read_revision=item.as_of,
        timeline=timeline,
    )
