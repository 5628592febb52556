"""Define the parameters of a caller's request."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """
    Describe one part of a prompt, which other prompts may share.

    Attributes
    ----------
    part : str
        Identifier of the text.
    tokens : int
        Length of the part.
    """

    part: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestParameters:
    """
    Hold the parameters that determine how a request is served.

    Attributes
    ----------
    request_id : str
        Identifier of this attempt by the caller.
    key : str
        API key presented by the caller; empty for none.
    time_limit_ms : float or None
        How long the caller will wait; None if not specified.
    prompt_parts : tuple of PromptPart
        Parts of the prompt in order; the last is specific to this request.
    prompt_tokens, output_tokens : int
        Length of the prompt, and the maximum number of tokens to generate.
    piece_counts : tuple of int
        Number of pieces of each stage, by position; 0 skips the stage.
    piece_key : str
        Key of the data that stages without inputs read.
    last_event_id : str
        Event after which a stream resumes; empty to start from the beginning.
    resumes_request_id : str
        Identifier of the caller's attempt whose response brought the first
        event of the stream that it resumes; empty if it names none.
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
    resumes_request_id: str = ''

    def get_shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the prompt parts that other requests may share."""
        return self.prompt_parts[:-1]

    def get_affinity_key(self) -> str:
        """
        Return the deepest prompt part that other requests may share.

        The part identifies all parts before it, since engines reuse a cached
        part only if all earlier parts match as well.
        """
        if not self.prompt_parts:
            return ''
        return self.prompt_parts[self._get_affinity_position()].part

    def get_affinity_tokens(self) -> int:
        """Return the length of that part; 0 if no part may be shared."""
        if len(self.prompt_parts) < 2:
            return 0
        tokens = self.prompt_parts[self._get_affinity_position()].tokens
        return min(tokens, self.prompt_tokens)

    def _get_affinity_position(self) -> int:
        return max(0, len(self.prompt_parts) - 2)
