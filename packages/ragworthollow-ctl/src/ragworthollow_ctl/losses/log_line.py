"""Define the log lines from which losses are told."""

import msgspec

from ragworthollow.utils import Message


class LogLine(Message):
    """
    Hold the fields of a log line that losses are told from.

    Attributes
    ----------
    event : str
        What happened.
    time_ms : float
        Wall-clock time of the line.
    step, peer, reason, detail : str or None
        Where and why a request ended; None where it was served.
    request_id, route, pool : str
        Which request; empty for lines about calls for pieces.
    status : int
        What its caller got.
    late_ms : float
        How much later than its objective an answer began; negative in time.
    pieces : int or list of int
        Pieces of a call, or of each stage of a request.
    limit : str
        What kept a call from carrying more pieces.
    queued : int
        Pieces that waited when the call ended.
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
    pieces: int | list[int] = 0
    limit: str = ''
    queued: int = 0


def decode_line(text: str) -> LogLine | None:
    """
    Decode one line of output.

    Collectors put a time or a name before the line of the process, and other
    programs write beside it.

    Parameters
    ----------
    text : str
        The line, with whatever stands before its JSON object.

    Returns
    -------
    LogLine or None
        None for a line that is not one of ours.
    """
    begin = text.find('{')
    if begin < 0:
        return None
    try:
        return msgspec.json.decode(text[begin:].encode(), type=LogLine)
    except msgspec.DecodeError:
        return None
