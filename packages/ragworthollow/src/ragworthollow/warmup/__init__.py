"""Give instances that warm up no more than they can bear."""

from ragworthollow.warmup.guard import WarmUpGuard
from ragworthollow.warmup.limits import WarmUpLimits, derive_limits
from ragworthollow.warmup.pacer import Pacer
from ragworthollow.warmup.senders import Senders
from ragworthollow.warmup.share import SenderShare, derive_share

__all__ = (
    'Pacer',
    'SenderShare',
    'Senders',
    'WarmUpGuard',
    'WarmUpLimits',
    'derive_limits',
    'derive_share',
)
