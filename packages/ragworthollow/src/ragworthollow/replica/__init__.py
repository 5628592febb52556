"""Replicate the store, and track how fresh the replica is."""

from ragworthollow.replica.evidence import Evidence
from ragworthollow.replica.follow_paces import FollowPaces, derive_paces
from ragworthollow.replica.news_codec import decode_news, encode_news
from ragworthollow.replica.replica import NewsEffect, Replica
from ragworthollow.replica.store_news import (
    NewsKey,
    NewsQuestion,
    RetainedKey,
    StoreNews,
)
from ragworthollow.replica.store_view import StoreView

__all__ = (
    'Evidence',
    'FollowPaces',
    'NewsEffect',
    'NewsKey',
    'NewsQuestion',
    'Replica',
    'RetainedKey',
    'StoreNews',
    'StoreView',
    'decode_news',
    'derive_paces',
    'encode_news',
)
