"""Limit the requests to instances to the rates that they accept."""

from ragworthollow.throttling.limit_news import (
    LimitNews,
    make_limit_news,
    read_limit_news,
)
from ragworthollow.throttling.limits import (
    RateLimits,
    derive_limits,
    derive_named_limits,
)
from ragworthollow.throttling.named_limit import (
    UNLIMITED_PER_S,
    NamedLimit,
)
from ragworthollow.throttling.named_limits import NamedLimits
from ragworthollow.throttling.pacer import Pacer
from ragworthollow.throttling.quota import SenderShare, derive_share
from ragworthollow.throttling.senders import Senders
from ragworthollow.throttling.throttle import Throttle

__all__ = (
    'UNLIMITED_PER_S',
    'LimitNews',
    'NamedLimit',
    'NamedLimits',
    'Pacer',
    'RateLimits',
    'SenderShare',
    'Senders',
    'Throttle',
    'derive_limits',
    'derive_named_limits',
    'derive_share',
    'make_limit_news',
    'read_limit_news',
)
