"""Describe a request and its responses independently of any protocol."""

from ragworthollow.exchange.answer_marks import AnswerMarks
from ragworthollow.exchange.request_terms import PromptPart, RequestTerms
from ragworthollow.exchange.upstream_order import UpstreamOrder
from ragworthollow.exchange.usual_limits import UsualLimits

__all__ = (
    'AnswerMarks',
    'PromptPart',
    'RequestTerms',
    'UpstreamOrder',
    'UsualLimits',
)
