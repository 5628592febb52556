"""Send requests whose upstreams break off or frame streams in many ways."""

from measure.gateway_caller import GatewayCaller

SPOILED = 'spoiled'
WHOLE = 'never-regular'
# Framing, place and end of a stream.  Ways that no reader can tell from a
# complete stream are left out: a regular end or a closed connection between
# two events.
_WAYS = (
    f'connection-{WHOLE}',
    f'length-{WHOLE}',
    f'chunked-{WHOLE}',
    'connection-head-close',
    'connection-head-reset',
    'connection-between-reset',
    'connection-inside-close',
    'connection-inside-reset',
    'length-between-close',
    'length-inside-reset',
    'length-inside-regular',
    'chunked-head-reset',
    'chunked-between-close',
    'chunked-between-reset',
    'chunked-inside-regular',
)


class SpoiledStreamCaller(GatewayCaller):
    """Ask for streams that are spoiled in a way that the path names."""

    def _choose_path(self) -> str:
        kind = self._rng.choice(('stream', 'resumable'))
        return f'/{kind}/{SPOILED}?{self._rng.choice(_WAYS)}'


def is_spoiled(path: str) -> bool:
    """Return whether a path asks for a stream that is broken off."""
    return f'/{SPOILED}?' in path and not path.endswith(WHOLE)
