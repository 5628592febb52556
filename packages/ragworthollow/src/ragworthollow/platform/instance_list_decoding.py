"""Decode the platform's list of instances."""

import asyncio
import re
from collections.abc import AsyncIterator

import msgspec

from ragworthollow.logs.events import log_error
from ragworthollow.platform.instance_list import InstanceEntry, InstanceList
from ragworthollow.utils import decode_json
from ragworthollow.utils.message import Message

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_DEPTH_CHANGES = {b'[': 1, b'{': 1, b']': -1, b'}': -1}
# Depth of an entry inside of the list.
_ENTRY_DEPTH = 3
# Deeper than any entry, and readable by the codec.
_MAX_DEPTH = 100
_MAX_ERROR_CHARACTERS = 200
_ENTRIES_PER_TURN = 1000
_TOKENS_PER_TURN = 10_000


class _RawList(Message):
    """Hold the list with its entries as they came."""

    revision: int = 0
    instances: tuple[msgspec.Raw, ...] = ()


async def decode_instance_list(text: bytes) -> InstanceList:
    """
    Decode the list, except for entries that cannot be read.

    Any process may add an entry, and one that cannot be read must not keep the
    others from being followed.  Other work gets its turn, however many entries
    cannot be read.

    Parameters
    ----------
    text : bytes
        The list as JSON.

    Returns
    -------
    InstanceList
        The list without unreadable entries, which are counted in the log.

    Raises
    ------
    msgspec.DecodeError
        The list itself cannot be read.
    """
    try:
        listed = decode_json(text, _RawList)
    except msgspec.DecodeError:
        # The codec cannot even skip a value that is nested too deeply.
        shallow = await _blank_deep_entries(text)
        listed = decode_json(shallow, _RawList)
    entries: list[InstanceEntry] = []
    errors: list[str] = []
    for number, raw_entry in enumerate(listed.instances):
        if not number % _ENTRIES_PER_TURN:
            await asyncio.sleep(0)
        try:
            entries.append(decode_json(bytes(raw_entry), InstanceEntry))
        except msgspec.DecodeError as error:
            errors.append(str(error))
    if errors:
        log_error(
            'listed_instances_unreadable',
            step='instances',
            count=len(errors),
            revision=listed.revision,
            error=errors[0][:_MAX_ERROR_CHARACTERS],
        )
    return InstanceList(revision=listed.revision, instances=tuple(entries))


async def _blank_deep_entries(text: bytes) -> bytes:
    """Replace each entry that is nested too deeply by a null."""
    kept: list[bytes] = []
    kept_to = 0
    async for start, end, deepest in _find_entries(text):
        if deepest > _MAX_DEPTH:
            kept.extend((text[kept_to:start], b'null'))
            kept_to = end
    return b''.join((*kept, text[kept_to:]))


async def _find_entries(text: bytes) -> AsyncIterator[tuple[int, int, int]]:
    """Yield the start, the end and the greatest depth of each entry."""
    start = 0
    depth = 0
    deepest = 0
    for number, token in enumerate(_TOKEN.finditer(text)):
        if not number % _TOKENS_PER_TURN:
            await asyncio.sleep(0)
        previous = depth
        depth += _DEPTH_CHANGES.get(token[0], 0)
        deepest = max(deepest, depth)
        if depth == _ENTRY_DEPTH and previous < depth:
            start = token.start()
            deepest = depth
        elif previous == _ENTRY_DEPTH and previous > depth:
            yield start, token.end(), deepest
