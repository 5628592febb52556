"""Replicate the store, and track how fresh the replica is."""

from ragworthollow.replica.evidence import Freshness
from ragworthollow.replica.follow_paces import (
    PollIntervals,
    derive_poll_intervals,
)
from ragworthollow.replica.news_codec import decode_update, encode_update
from ragworthollow.replica.replica import Replica, UpdateResult
from ragworthollow.replica.store_news import (
    RetainedKey,
    StoreUpdate,
    UpdatedKey,
    UpdateRequest,
)
from ragworthollow.replica.store_view import StoreView

__all__ = (
    'Freshness',
    'PollIntervals',
    'Replica',
    'RetainedKey',
    'StoreUpdate',
    'StoreView',
    'UpdateRequest',
    'UpdateResult',
    'UpdatedKey',
    'decode_update',
    'derive_poll_intervals',
    'encode_update',
)
