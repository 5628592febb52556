"""Admission control: decide which calls run, wait or are rejected."""

from ragworthollow.admission.decisions import Offer, Rejection, Turn
from ragworthollow.admission.queue import AdmissionQueue
from ragworthollow.admission.share import Share, get_shares
from ragworthollow.admission.ticket import Ticket

__all__ = (
    'AdmissionQueue',
    'Offer',
    'Rejection',
    'Share',
    'Ticket',
    'Turn',
    'get_shares',
)
