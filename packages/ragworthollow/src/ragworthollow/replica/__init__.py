"""Replicate the store, and track how fresh the replica is."""

from ragworthollow.replica.freshness import Freshness
from ragworthollow.replica.poll_intervals import FollowPaces, derive_paces
from ragworthollow.replica.replica import NewsEffect, Replica
from ragworthollow.replica.store_news import (
    RetainedKey,
    StoreNews,
    UpdatedKey,
    UpdateRequest,
)
from ragworthollow.replica.store_view import StoreView
from ragworthollow.replica.update_codec import decode_update, encode_update

__all__ = (
    'Evidence',
    'FollowPaces',
    'NewsEffect',
    'UpdatedKey',
    'UpdateRequest',
    'Replica',
    'RetainedKey',
    'StoreNews',
    'StoreView',
    'decode_update',
    'derive_paces',
    'encode_update',
)
