"""Replicate the store, and track how fresh the replica is."""

from ragworthollow.replica.freshness import Freshness
from ragworthollow.replica.poll_intervals import (
    PollIntervals,
    derive_poll_intervals,
)
from ragworthollow.replica.replica import Replica, UpdateResult
from ragworthollow.replica.store_update import (
    RetainedKey,
    StoreUpdate,
    UpdatedKey,
    UpdateRequest,
)
from ragworthollow.replica.store_view import StoreView
from ragworthollow.replica.update_codec import decode_update, encode_update

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
