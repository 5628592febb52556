"""Define what is remembered of a request of the soak."""

import msgspec


class Sent(msgspec.Struct, kw_only=True):
    """Remember one request of a caller, and what became of it."""

    request_id: str
    path: str
    limit_ms: int
    gateway: str
    is_first: bool
    started_s: float
    last_event_id: int = 0
    # Attempt that brought the first event of the stream; empty for a new one.
    resumes_request_id: str = ''
    retry_after_s: float = 0
    ended_s: float = 0
    status: int | None = None
    body: str = ''
    runs: int = 0
    verdict: str = ''
