"""Collect the client sessions of a gateway."""

from ragworthollow.transport.checked_connector import make_upstream_session
from ragworthollow.transport.held_session import make_held_session
from ragworthollow.transport.session import make_unauthenticated_session

__all__ = (
    'make_held_session',
    'make_unauthenticated_session',
    'make_upstream_session',
)
