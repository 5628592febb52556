"""Define a request that passed the door."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass

import msgspec

from ragworthollow.configuration import Pipeline
from ragworthollow.transport import OnceKey
from ragworthollow.utils import get_monotonic_ms
from ragworthollow_daemon.entry.messages import TokenEvent

EmitToken = Callable[[TokenEvent], Awaitable[None]]


async def ignore_token(_event: TokenEvent) -> None:
    """Take a token of a request that is not streamed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmittedRequest:
    """
    Hold a request whose caller, pipeline and deadline are known.

    Attributes
    ----------
    request_id : str
        Made here.
    organisation, pipeline_name : str
        Whose it is and what it runs.
    pipeline : Pipeline
        As configured when the request came; a change does not affect it.
    deadline_ms : float
        On the monotonic clock.
    inputs : mapping
        Input of each stage by name.
    worth : float
        Worth of the request.
    once : OnceKey or None
        Present when the pipeline has a non-repeatable stage.
    is_stream : bool
        Whether the caller wants tokens as they are generated.
    emit : callable
        Takes tokens.
    """

    request_id: str
    organisation: str
    pipeline_name: str
    pipeline: Pipeline
    deadline_ms: float
    inputs: Mapping[str, msgspec.Raw]
    worth: float
    once: OnceKey | None = None
    is_stream: bool = False
    emit: EmitToken = ignore_token

    def get_remaining_ms(self) -> float:
        """Return the time left."""
        return self.deadline_ms - get_monotonic_ms()

    def is_keyed(self) -> bool:
        """Tell whether the caller chose the key, so that repeats may come."""
        return self.once is not None and not self.once.fresh
