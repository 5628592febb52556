"""Define one line of a streamed stage answer."""

from ragworthollow.transport.stage_answer import StageAnswer
from ragworthollow.utils.message import Message


class StreamLine(Message):
    """
    Carry a token or the closing answer.

    A stream without a closing answer is truncated and must not be treated as
    complete.

    Attributes
    ----------
    offset : int
        Position of the token, from 0.
    token : str
        Text of the token.
    answer : StageAnswer or None
        Present on the last line only.
    """

    offset: int = 0
    token: str = ''
    answer: StageAnswer | None = None
