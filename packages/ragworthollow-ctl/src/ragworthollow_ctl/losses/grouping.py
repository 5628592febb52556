"""Group requests for the comparison of their losses."""

import enum
from collections.abc import Callable, Mapping

from ragworthollow_ctl.losses.log_line import LogLine

_SIZE_CLASSES = (
    (1_000, 'up to 1,000 tokens'),
    (4_000, 'up to 4,000 tokens'),
    (16_000, 'up to 16,000 tokens'),
)
_LARGEST = 'over 16,000 tokens'


class Grouping(enum.StrEnum):
    """Enumerate by what losses can be compared."""

    gateway = 'gateway'
    organisation = 'organisation'
    prompt = 'prompt'


def get_group(line: LogLine, grouping: Grouping) -> str:
    """Return the group of the request that a line is about."""
    return _GROUPERS[grouping](line)


def _get_size_class(line: LogLine) -> str:
    for limit, name in _SIZE_CLASSES:
        if line.prompt_tokens <= limit:
            return name
    return _LARGEST


_GROUPERS: Mapping[Grouping, Callable[[LogLine], str]] = {
    Grouping.gateway: lambda line: line.instance,
    Grouping.organisation: lambda line: line.organisation,
    Grouping.prompt: _get_size_class,
}
