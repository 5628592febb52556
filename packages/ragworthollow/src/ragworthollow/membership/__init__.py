"""Track which processes exist and which of them watch the platform."""

from ragworthollow.membership.peer_directory import PeerDirectory

__all__ = ('PeerDirectory',)
