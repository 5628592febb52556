"""Describe a request and its responses independently of any protocol."""

from ragworthollow.exchange.attempt_metadata import AttemptMetadata
from ragworthollow.exchange.request_parameters import (
    PromptPart,
    RequestParameters,
)
from ragworthollow.exchange.response_metadata import ResponseMetadata
from ragworthollow.exchange.typical_time_limits import TypicalTimeLimits

__all__ = (
    'AttemptMetadata',
    'PromptPart',
    'RequestParameters',
    'ResponseMetadata',
    'TypicalTimeLimits',
)
