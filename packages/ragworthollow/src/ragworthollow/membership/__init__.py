"""Track which processes exist and which of them watch the platform."""

from ragworthollow.membership.peers import PeerDirectory

__all__ = ('PeerDirectory',)
