"""Find what began a stream in the records of the store."""

from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.upstreams.stream_segment import StreamSegment

# Pool and software version.
_Beginning = tuple[str, str | None]
_UNCERTAIN: _Beginning = ('', None)


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordedStream:
    """
    Hold what is recorded of a stream.

    Attributes
    ----------
    software_version : str or None
        Version that began it; None if it is not certain.
    pool : str
        Pool in which it began; empty if it is not certain.
    writers : frozenset of str
        Incarnations of the gateways that have recorded it.
    """

    software_version: str | None
    pool: str
    writers: frozenset[str]


class RecordedStreams:
    """Hold the segments of all gateways, as last read."""

    def __init__(self) -> None:
        self._segments: dict[str, Mapping[str, _Beginning]] = {}
        self._writers: dict[str, str] = {}

    def set(self, key: str, writer: str, segment: StreamSegment) -> None:
        """
        Add or replace a segment.

        Parameters
        ----------
        key : str
            Its key in the store.
        writer : str
            Incarnation of the gateway that has written it.
        segment : StreamSegment
            The segment.
        """
        streams: dict[str, _Beginning] = {}
        for pool, by_version in segment.pools.items():
            for version, request_ids in by_version.items():
                streams.update(dict.fromkeys(request_ids, (pool, version)))
        streams.update(dict.fromkeys(segment.uncertain, _UNCERTAIN))
        self._segments[key] = streams
        self._writers[key] = writer

    def remove(self, key: str) -> None:
        """Remove a segment, if it is there."""
        self._segments.pop(key, None)
        self._writers.pop(key, None)

    def list_keys(self) -> frozenset[str]:
        """Return the keys of the segments."""
        return frozenset(self._segments)

    def find(self, request_id: str) -> RecordedStream | None:
        """
        Return what is recorded of a stream; None if nothing is.

        Parameters
        ----------
        request_id : str
            Caller's attempt whose response brought the first event.
        """
        found = {
            key: segment[request_id]
            for key, segment in self._segments.items()
            if request_id in segment
        }
        if not found:
            return None
        # A record that differs from another makes the beginning uncertain.
        beginnings = set(found.values())
        pool, version = beginnings.pop() if len(beginnings) == 1 else _UNCERTAIN
        return RecordedStream(
            software_version=version,
            pool=pool,
            writers=frozenset(self._writers[key] for key in found),
        )
