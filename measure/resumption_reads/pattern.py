"""Define the patterns in which callers resume streams."""

from dataclasses import dataclass
from types import MappingProxyType

# Streams that begin a second at each gateway, and for how long they last.
_STREAMS_PER_S = 15
_STREAM_S = 3
_DOMAINS = 6
_BURST_S = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Pattern:
    """
    Say how many streams are resumed, and when.

    Attributes
    ----------
    per_gateway_per_s : float
        Resumptions a second at each gateway.
    length_s : float
        For how long streams are resumed, in seconds.
    counted_from_s : float
        From when resumptions are counted, in seconds.
    surviving_share : float
        Part of the gateways that began the streams and still runs.
    """

    per_gateway_per_s: float
    length_s: float
    counted_from_s: float = 0
    surviving_share: float = 1


def _resume_share(share: float, length_s: float) -> Pattern:
    return Pattern(
        per_gateway_per_s=_STREAMS_PER_S * share,
        length_s=length_s,
        counted_from_s=4,
    )


def _lose(share: float) -> Pattern:
    """Resume the streams of lost gateways at those that run afterwards."""
    in_flight = _STREAMS_PER_S * _STREAM_S
    running = 1 if share == 1 else 1 - share
    return Pattern(
        per_gateway_per_s=in_flight * share / running / _BURST_S,
        length_s=_BURST_S,
        surviving_share=0,
    )


PATTERNS = MappingProxyType(
    {
        '1% of streams break off': _resume_share(0.01, 40),
        '10% of streams break off': _resume_share(0.1, 12),
        'all streams break off': _resume_share(1, 7),
        'one domain lost': _lose(1 / _DOMAINS),
        'all gateways lost': _lose(1),
    }
)
