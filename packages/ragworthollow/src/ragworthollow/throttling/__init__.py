"""Limit the requests to instances to the rates that they accept."""

from ragworthollow.throttling.advertised_limit import (
    UNLIMITED_PER_S,
    AdvertisedLimit,
)
from ragworthollow.throttling.advertised_limits import AdvertisedLimits
from ragworthollow.throttling.limit_update import (
    LimitUpdate,
    make_limit_update,
    read_limit_update,
)
from ragworthollow.throttling.limits import (
    RateLimits,
    derive_advertised_limits,
    derive_limits,
)
from ragworthollow.throttling.pacer import Pacer
from ragworthollow.throttling.quota import SenderQuota, derive_quota
from ragworthollow.throttling.senders import Senders
from ragworthollow.throttling.throttle import Throttle

__all__ = (
    'UNLIMITED_PER_S',
    'AdvertisedLimit',
    'AdvertisedLimits',
    'LimitUpdate',
    'Pacer',
    'RateLimits',
    'SenderQuota',
    'Senders',
    'Throttle',
    'derive_advertised_limits',
    'derive_limits',
    'derive_quota',
    'make_limit_update',
    'read_limit_update',
)
