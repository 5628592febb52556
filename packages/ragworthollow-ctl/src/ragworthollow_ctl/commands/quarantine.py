"""List the quarantined requests."""

import asyncio
import sys

from ragworthollow.quarantine.operator_messages import (
    QUARANTINE_PATH,
    QuarantinedRequest,
)
from ragworthollow_ctl.gateway_client import query_gateway

_MS_PER_SECOND = 1000


def quarantine(gateway: str) -> None:
    """
    List requests quarantined because they crash the instances that run them.

    Parameters
    ----------
    gateway
        Metrics address of any gateway, IP:PORT.
    """
    requests = asyncio.run(
        query_gateway(gateway, QUARANTINE_PATH, tuple[QuarantinedRequest, ...]),
    )
    sys.stdout.writelines(
        f'{request.fingerprint}  {request.left_ms / _MS_PER_SECOND:.0f} s'
        f'  {" ".join(request.crashes)}\n'
        for request in requests
    )
