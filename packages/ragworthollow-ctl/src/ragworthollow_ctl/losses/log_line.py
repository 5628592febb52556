"""Decode the log lines that losses are computed from."""

import msgspec

from ragworthollow.utils import Message, decode_json


class LogLine(Message):
    """
    Hold the fields of a log line that the loss report uses.

    Attributes
    ----------
    event : str
        Name of the event.
    time_ms : float
        Wall-clock time of the line, in milliseconds since the epoch.
    step, peer, reason, detail : str or None
        Where and why a request failed; None if it was served.
    request_id, route, pool : str
        Request that the line is about.  `request_id` and `route` are empty for
        calls for pieces.
    status : int
        HTTP status that the caller received.
    late_ms : float
        Start of the response relative to its latency objective, in
        milliseconds; negative if it was in time.
    staged_ms : float
        Time from the arrival of a request to the end of its stages.
    began_after_ms : float
        Time from its arrival to the start of its response.
    instance, organisation : str
        Gateway that wrote the line, and caller of the request.
    prompt_tokens : int
        Length of its prompt.
    pieces : int or list of int
        Number of pieces of a call, or of each stage of a request.
    limit : str
        Limit that kept a call from carrying more pieces.
    queued : int
        Pieces that were queued when the call ended.
    """

    event: str = ''
    time_ms: float = 0
    step: str | None = None
    peer: str | None = None
    reason: str | None = None
    detail: str | None = None
    request_id: str = ''
    route: str = ''
    pool: str = ''
    status: int = 0
    late_ms: float = 0
    staged_ms: float = 0
    began_after_ms: float = 0
    instance: str = ''
    organisation: str = ''
    prompt_tokens: int = 0
    pieces: int | list[int] = 0
    limit: str = ''
    queued: int = 0


def decode_line(text: str) -> LogLine | None:
    """
    Decode one line of collected output.

    Log collectors prefix the lines of a process with a time or a name, and
    other programs write to the same output.

    Parameters
    ----------
    text : str
        Line, including any prefix before its JSON object.

    Returns
    -------
    LogLine or None
        None if the line holds no JSON object of this format.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        return decode_json(text[start:], LogLine)
    except msgspec.DecodeError:
        return None
