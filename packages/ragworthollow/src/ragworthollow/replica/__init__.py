"""Replicate the store, and track how fresh the replica is."""

from ragworthollow.replica.evidence import Freshness
from ragworthollow.replica.follow_paces import FollowPaces, derive_paces
from ragworthollow.replica.news_codec import decode_update, encode_update
from ragworthollow.replica.replica import NewsEffect, Replica
from ragworthollow.replica.store_news import (
    RetainedKey,
    StoreNews,
    UpdatedKey,
    UpdateRequest,
)
from ragworthollow.replica.store_view import StoreView

__all__ = (
    'FollowPaces',
    'Freshness',
    'NewsEffect',
    'Replica',
    'RetainedKey',
    'StoreNews',
    'StoreView',
    'UpdateRequest',
    'UpdatedKey',
    'decode_update',
    'derive_paces',
    'encode_update',
)
