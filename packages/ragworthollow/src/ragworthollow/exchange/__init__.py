"""Hold what one request and its answers say, apart from any wire."""

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
