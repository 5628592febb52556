"""Define a message to a stage instance."""

from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from ragworthollow.upstreams import UpstreamInstance
from ragworthollow_daemon.gateway.attribution import Attribution
from ragworthollow_daemon.gateway.connection_history import ConnectionHistory

Attribute = Callable[[int, bytes, ConnectionHistory], Attribution]


@dataclass(frozen=True, kw_only=True, slots=True)
class StageMessage:
    """
    Describe one message and how its response is recognised.

    Attributes
    ----------
    instance : UpstreamInstance
        Instance to send it to.
    method, path : str
        HTTP method and path.
    timeout : ClientTimeout
        Timeout of the exchange.
    attribute : callable
        Attributes a response that names no request, given its status, its
        body and the history of its connection.
    body : bytes or None
        JSON body.
    """

    instance: UpstreamInstance
    method: str
    path: str
    timeout: aiohttp.ClientTimeout
    attribute: Attribute
    body: bytes | None = None
