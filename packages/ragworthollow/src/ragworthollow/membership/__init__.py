"""Track which processes exist and which of them watch the platform."""

from ragworthollow.membership.gateway_member import GatewayMember
from ragworthollow.membership.gateway_members import GatewayMembers
from ragworthollow.membership.peer_directory import PeerDirectory

__all__ = ('GatewayMember', 'GatewayMembers', 'PeerDirectory')
