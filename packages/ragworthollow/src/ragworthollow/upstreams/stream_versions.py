"""Remember the software versions of streams that this gateway has relayed."""

import dataclasses
from collections.abc import Collection, Mapping

from ragworthollow.upstreams.stream_origin import StreamOrigin


class StreamVersions:
    """
    Remember what began each stream until its callers no longer resume it.

    A stream that does not fit in is not remembered, so that it is resumed only
    where its version follows from the list.

    Parameters
    ----------
    limit : int
        Maximum number of streams.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._origins: dict[str, StreamOrigin] = {}
        # Streams relayed here that the store does not have, by pool, oldest
        # first.
        self._unrecorded: dict[str, dict[str, None]] = {}

    def record(
        self, request_id: str, origin: StreamOrigin, now_ms: float
    ) -> bool:
        """
        Record what began a stream, or renew the record.

        Parameters
        ----------
        request_id : str
            Caller's attempt whose response brought the first event.
        origin : StreamOrigin
            What began it.
        now_ms : float
            Time on the monotonic clock.

        Returns
        -------
        bool
            False if there is no space.
        """
        known = self.find(request_id, now_ms)
        if known is not None and known.software_version is None:
            return True
        if request_id not in self._origins and self._is_full(now_ms):
            return False
        self._origins[request_id] = origin
        if known is None:
            self._queue(request_id, origin)
        return True

    def find(self, request_id: str, now_ms: float) -> StreamOrigin | None:
        """Return what began a stream; None if it is not known."""
        origin = self._origins.get(request_id)
        if origin is None or origin.expires_ms <= now_ms:
            return None
        return origin

    def forget_version(self, instance: str, since_ms: float) -> None:
        """
        Treat the version of recent streams of an instance as uncertain.

        Parameters
        ----------
        instance : str
            Instance that has restarted under the same identifier.
        since_ms : float
            Time as of which the instance had not restarted.
        """
        for request_id, origin in self._origins.items():
            if origin.instance == instance and origin.began_ms >= since_ms:
                self._origins[request_id] = dataclasses.replace(
                    origin, software_version=None
                )
                self._queue(request_id, origin)

    def take_unrecorded(
        self, pools: Collection[str], limit: int, now_ms: float
    ) -> Mapping[str, StreamOrigin]:
        """
        Return streams that the store does not have, and count them as stored.

        Parameters
        ----------
        pools : collection of str
            Pools whose streams are recorded in the store.
        limit : int
            Maximum number of streams, the newest first.
        now_ms : float
            Time on the monotonic clock.
        """
        taken: dict[str, StreamOrigin] = {}
        for pool in pools:
            unrecorded = self._unrecorded.get(pool, {})
            while unrecorded and len(taken) < limit:
                request_id, _ = unrecorded.popitem()
                origin = self.find(request_id, now_ms)
                if origin is not None:
                    taken[request_id] = origin
        return taken

    def _queue(self, request_id: str, origin: StreamOrigin) -> None:
        if origin.is_relayed_here:
            self._unrecorded.setdefault(origin.pool, {})[request_id] = None

    def _is_full(self, now_ms: float) -> bool:
        if len(self._origins) >= self._limit:
            self._origins = {
                request_id: origin
                for request_id, origin in self._origins.items()
                if origin.expires_ms > now_ms
            }
            self._unrecorded = {
                pool: {
                    request_id: None
                    for request_id in unrecorded
                    if request_id in self._origins
                }
                for pool, unrecorded in self._unrecorded.items()
            }
        return len(self._origins) >= self._limit
