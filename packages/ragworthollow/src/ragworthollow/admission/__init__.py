"""Decide what runs, what waits and what is refused."""

from ragworthollow.admission.queue import AdmissionQueue, Offer, Turn
from ragworthollow.admission.share import Share, get_shares
from ragworthollow.admission.ticket import Ticket

__all__ = ('AdmissionQueue', 'Offer', 'Share', 'Ticket', 'Turn', 'get_shares')
