"""Read and watch the platform's store."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
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
class _WatchResult:
    """Hold the response to a watch call and its timeline."""

    page: WatchPage
    timeline: int


class StoreReader:
    """
    Read and watch keys of the store.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session for the calls.
    base_url : str
        Base URL of the store.
    prefix : str
        Prefix of every key; keys that other systems write have none.
    timeout_ms : float
        Maximum time without receiving a byte of a response, in milliseconds.
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
        """Return the highest restore count that the store has reported."""
        return self._transport.timeline

    async def read(self, key: str) -> Result[Stored, PlatformError]:
        """
        Read one key, linearizably.

        Returns
        -------
        Result
            The stored state, for absent keys as well, or the failure.
        """
        result = await self._transport.call(
            'GET',
            '/api/kv-key',
            query={'key': f'{self._prefix}{key}'},
            response_type=Item,
            absent_status=HTTPStatus.NOT_FOUND,
        )
        return result.map(
            lambda response: (
                Stored(timeline=response.timeline)
                if response.message is None
                else _to_stored(response.message, response.timeline)
            ),
        )

    async def read_prefix(
        self,
        prefix: str,
    ) -> Result[StoreSnapshot, PlatformError]:
        """
        Read all keys that start with `prefix`.

        An error on any page fails the entire read, so that a partial list is
        never taken for the complete list.  Pages are not read atomically: keys
        may change between two pages.
        """
        entries: dict[str, Stored] = {}
        revision = 0
        size_bytes = 0
        timelines = set()
        query = {'path_prefix': f'{self._prefix}{prefix}'}
        while True:
            result = await self._transport.call(
                'GET',
                '/api/kv-range',
                query=query,
                response_type=RangePage,
            )
            if isinstance(result, Err):
                return result
            body = result.ok_value.body
            timeline = result.ok_value.timeline
            timelines.add(timeline)
            page = result.ok_value.message
            revision = revision or page.as_of
            size_bytes += len(body)
            entries.update(
                (
                    item.key.removeprefix(self._prefix),
                    _to_stored(item, timeline),
                )
                for item in page.items
            )
            if len(timelines) > 1:
                return Err(self._make_restored_error())
            if not page.has_more or not page.items:
                return Ok(
                    StoreSnapshot(
                        entries=entries,
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
        max_bytes: int,
    ) -> Result[StoreChanges | None, PlatformError]:
        """
        Read the changes of the keys under a prefix after a revision.

        This is a watch call that does not wait.  A watch may miss changes; the
        store then drops their history before it reports any later change.  So
        the next read has to start from the revision of the last change that
        was received: the revision that the response gives for the whole store
        would skip the missed changes.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after_revision : int
            Revision of the last known change.
        max_bytes : int
            Maximum size of the response; above it a read of all keys is
            shorter, since each change carries its full value.

        Returns
        -------
        Result
            The changes; None if all keys have to be read, since the history
            is no longer available or is too long.
        """
        result = await self._call_watch(
            prefix,
            after_revision=after_revision,
            wait_ms=0,
            max_bytes=max_bytes,
        )
        return result.map(
            lambda watched: (
                None
                if watched is None or watched.page.as_of < after_revision
                else self._to_changes(watched, after_revision)
            ),
        )

    async def watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
    ) -> Result[_WatchResult | None, PlatformError]:
        """
        Wait for changes of keys that start with `prefix`.

        Returns
        -------
        Result
            The changes, possibly none; None if the history after
            `after_revision` is no longer available and the keys must be read.
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
        Yield each change of one key while the store and its history last.

        Iteration ends when a call fails, the history is no longer available,
        the store is restored or no change arrives for `idle_ms`.

        Parameters
        ----------
        key : str
            The key.
        after : StorePosition
            Position up to which the key is known, so that no change is missed
            between a read and the watch.
        idle_ms : float
            Milliseconds without a change after which the watch ends; the
            caller then reads the key, since watches may miss changes.
        """
        wait_ms = int(min(idle_ms, global_settings.WATCH_WAIT_MS))
        idle_remaining_ms = idle_ms
        after_revision = after.revision
        while idle_remaining_ms > 0:
            result = await self.watch(
                key,
                after_revision=after_revision,
                wait_ms=wait_ms,
            )
            if isinstance(result, Err) or result.ok_value is None:
                return
            page = result.ok_value.page
            if result.ok_value.timeline != after.timeline:
                return
            after_revision = max(after_revision, page.as_of)
            idle_remaining_ms = (
                idle_ms if page.events else idle_remaining_ms - wait_ms
            )
            for event in page.events:
                if not event.tombstone:
                    yield _to_stored(event, after.timeline)

    async def _call_watch(
        self,
        prefix: str,
        *,
        after_revision: int,
        wait_ms: int,
        max_bytes: float = UNLIMITED_BYTES,
    ) -> Result[_WatchResult | None, PlatformError]:
        result = await self._transport.call(
            'GET',
            '/api/kv-watch',
            query={
                'path_prefix': f'{self._prefix}{prefix}',
                'after': str(after_revision),
                'wait_ms': str(wait_ms),
            },
            response_type=WatchPage,
            absent_status=HTTPStatus.GONE,
            extra_ms=wait_ms,
            max_bytes=max_bytes,
        )
        return result.map(
            lambda response: (
                None
                if response.message is None
                else _WatchResult(
                    page=response.message,
                    timeline=response.timeline,
                )
            ),
        )

    def _make_restored_error(self) -> PlatformError:
        return PlatformError(
            step='/api/kv-range',
            peer='store',
            detail='store was restored between two pages',
            may_have_applied=False,
        )

    def _to_changes(
        self,
        watched: _WatchResult,
        after_revision: int,
    ) -> StoreChanges:
        page = watched.page
        last_events = {
            event.key.removeprefix(self._prefix): event for event in page.events
        }
        revision = max(
            (event.rev for event in page.events),
            default=after_revision,
        )
        return StoreChanges(
            written={
                key: _to_stored(event, watched.timeline)
                for key, event in last_events.items()
                if not event.tombstone
            },
            removed={
                key: event.rev
                for key, event in last_events.items()
                if event.tombstone
            },
            revision=revision,
            is_complete=page.as_of <= revision,
            timeline=watched.timeline,
        )


def _to_stored(item: Item, timeline: int) -> Stored:
    return Stored(
        # Values are arbitrary bytes; a value that is not UTF-8 text belongs to
        # another system and must not fail a read of all keys.
        text=item.stored_bytes.decode(errors='replace'),
        mod_revision=item.rev,
        create_revision=item.create_revision,
        read_revision=item.as_of,
        timeline=timeline,
    )
