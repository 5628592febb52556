"""Trace how far the sending of requests has come."""

import time
from dataclasses import dataclass

import aiohttp


@dataclass(kw_only=True)
class RequestProgress:
    """Remember how far the sending of a request has come."""

    started: float
    connected_s: float | None = None
    head_sent_s: float | None = None


def make_progress_trace() -> aiohttp.TraceConfig:
    """Return a trace that records the progress of requests that ask for it."""

    async def record_connection(_session, trace_context, _params) -> None:
        progress = trace_context.trace_request_ctx
        if progress is not None:
            progress.connected_s = time.monotonic() - progress.started

    async def record_head(_session, trace_context, _params) -> None:
        progress = trace_context.trace_request_ctx
        if progress is not None:
            progress.head_sent_s = time.monotonic() - progress.started

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(record_connection)
    trace.on_connection_reuseconn.append(record_connection)
    trace.on_request_headers_sent.append(record_head)
    return trace
