"""Define the JSON that upstreams speak."""

import msgspec

from ragworthollow.utils.message import Message


class UpstreamAnswer(Message):
    """
    Answer of an encoder, retriever, reranker or plain service.

    Attributes
    ----------
    request_id : str
        Echo of the request it belongs to.
    output : Raw
        Output as JSON.
    """

    request_id: str
    output: msgspec.Raw


class CompletionChoice(Message):
    """
    Hold one token of a completions stream.

    Attributes
    ----------
    text : str
        The token.
    index : int
        Its offset in the whole completion.
    finish_reason : str or None
        Present on the last one.
    """

    text: str = ''
    index: int = 0
    finish_reason: str | None = None


class CompletionChunk(Message):
    """
    Hold one event of a completions stream.

    Attributes
    ----------
    id : str
        Request it belongs to.
    choices : tuple of CompletionChoice
        One choice.
    """

    id: str
    choices: tuple[CompletionChoice, ...] = ()


class Generation(Message):
    """
    Hold the output of a generating stage.

    Attributes
    ----------
    text : str
        The tokens written by this attempt, joined.
    tokens : int
        Their number, counted from the resume offset.
    offset : int
        Offset of the first of them.
    """

    text: str
    tokens: int
    offset: int = 0
