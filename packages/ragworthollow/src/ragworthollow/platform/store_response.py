"""Define the response of the store to one call."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreResponse:
    """
    Hold one response.

    Attributes
    ----------
    body : bytes or None
        None if there is nothing to return or the body is too large.
    message : object
        The decoded body; None without a body or if no type was asked for.
    timeline : int
        Restore count of the store at the time of the response.
    """

    body: bytes | None
    timeline: int
    message: Any = None
