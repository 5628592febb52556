"""Admission control: decide which calls run, wait or are rejected."""

from ragworthollow.admission.capacity_share import CapacityShare, get_shares
from ragworthollow.admission.decisions import (
    Acceptance,
    DispatchResult,
    Rejection,
)
from ragworthollow.admission.queue import AdmissionQueue
from ragworthollow.admission.ticket import Ticket

__all__ = (
    'Acceptance',
    'AdmissionQueue',
    'CapacityShare',
    'DispatchResult',
    'Rejection',
    'Ticket',
    'get_shares',
)
