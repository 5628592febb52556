"""Choose the instance for an attempt."""

from ragworthollow.routing.choice import choose_instance
from ragworthollow.routing.ejection import find_stragglers
from ragworthollow.routing.peer_state import PeerState
from ragworthollow.routing.subset import choose_subset

__all__ = ('PeerState', 'choose_instance', 'choose_subset', 'find_stragglers')
