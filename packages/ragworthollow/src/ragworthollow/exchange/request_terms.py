"""Define the terms on which a caller asks for an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """
    Name one part of a prompt, which other prompts may share.

    Attributes
    ----------
    part : str
        Identifier of the text.
    tokens : int
        Its length.
    """

    part: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestTerms:
    """
    Hold what decides how a request is served.

    Attributes
    ----------
    request_id : str
        Identifier of this attempt of the caller.
    key : str
        Key presented by the caller; empty for none.
    time_limit_ms : float or None
        How long the caller will wait; None when it did not say.
    prompt_parts : tuple of PromptPart
        Parts of the prompt in order; the last is the request's own.
    prompt_tokens, output_tokens : int
        Length of the prompt, and the most tokens to generate.
    piece_counts : tuple of int
        Pieces of each stage, by position; 0 leaves a stage out.
    piece_key : str
        What stages without inputs read.
    last_event_id : str
        Event after which a stream is to go on; empty to begin.
    """

    request_id: str
    key: str = ''
    time_limit_ms: float | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ''
    last_event_id: str = ''

    def get_affinity_key(self) -> str:
        """
        Return the deepest prompt part that other requests may share.

        The parts before it follow from it, since engines reuse a part only
        behind all earlier ones.
        """
        if not self.prompt_parts:
            return ''
        position = max(0, len(self.prompt_parts) - 2)
        return self.prompt_parts[position].part
