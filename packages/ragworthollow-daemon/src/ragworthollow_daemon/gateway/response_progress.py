"""Define the progress of the response to a request."""

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class ResponseProgress:
    """
    Track the progress of the response to a request.

    A caller that disconnects cancels its request at any point.  The log can
    only state what the request was waiting for if that is recorded as the
    request progresses.

    Attributes
    ----------
    step : str
        Step that is in progress.
    peer : str
        Pool, or instance of the current attempt.
    is_started : bool
        Whether the head has been sent, so that no other response is possible.
    """

    step: str
    peer: str
    is_started: bool = False
