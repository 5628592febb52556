"""Define how a request ended."""

from dataclasses import dataclass

from aiohttp import web

from ragworthollow_daemon.gateway.upstream_failure import UpstreamFailure


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedRequest:
    """
    Hold the response to a request, and its failure.

    Attributes
    ----------
    response : StreamResponse
        Response to the caller; incomplete if its stream was broken off.
    failure : UpstreamFailure or None
        Why the request was refused or its stream broken off; None if it has
        been answered.
    """

    response: web.StreamResponse
    failure: UpstreamFailure | None = None
