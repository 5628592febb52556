"""Find which software version began a stream in the records of the store."""

from collections.abc import Mapping
from dataclasses import dataclass

from ragworthollow.upstreams.stream_segment import StreamSegment


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordedStream:
    """
    Hold what is recorded of a stream.

    Attributes
    ----------
    software_version : str or None
        Version that began it; None if it is not certain.
    """

    software_version: str | None


class RecordedStreams:
    """Hold the segments of all gateways, as last read."""

    def __init__(self) -> None:
        self._segments: dict[str, Mapping[str, str | None]] = {}

    def set(self, key: str, segment: StreamSegment) -> None:
        """Add or replace a segment."""
        versions: dict[str, str | None] = {
            request_id: version
            for version, request_ids in segment.streams.items()
            for request_id in request_ids
        }
        versions.update(dict.fromkeys(segment.uncertain))
        self._segments[key] = versions

    def remove(self, key: str) -> None:
        """Remove a segment, if it is there."""
        self._segments.pop(key, None)

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
        versions = {
            segment[request_id]
            for segment in self._segments.values()
            if request_id in segment
        }
        if not versions:
            return None
        # A record that differs from another makes the version uncertain.
        is_certain = len(versions) == 1
        return RecordedStream(
            software_version=versions.pop() if is_certain else None
        )
