"""Describe a request and its responses independently of any protocol."""

from ragworthollow.exchange.answer_marks import ResponseMetadata
from ragworthollow.exchange.request_terms import PromptPart, RequestParameters
from ragworthollow.exchange.upstream_order import AttemptMetadata
from ragworthollow.exchange.usual_limits import TypicalTimeLimits

__all__ = (
    'AttemptMetadata',
    'PromptPart',
    'RequestParameters',
    'ResponseMetadata',
    'TypicalTimeLimits',
)
