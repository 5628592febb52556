"""Release a request from quarantine."""

import asyncio
import sys

from ragworthollow.quarantine.operator_messages import (
    RELEASE_PATH,
    ReleaseRequest,
    ReleaseResponse,
)
from ragworthollow_ctl.gateway_client import query_gateway

_NOT_QUARANTINED = 1


def release(fingerprint: str, gateway: str) -> None:
    """
    Release a request at every gateway; exit 1 if it was not quarantined.

    Parameters
    ----------
    fingerprint
        Fingerprint of the request, as listed by `ragworthctl quarantine`.
    gateway
        Metrics address of any gateway, IP:PORT; it notifies the others.
    """
    response = asyncio.run(
        query_gateway(
            gateway,
            RELEASE_PATH,
            ReleaseResponse,
            ReleaseRequest(fingerprint=fingerprint),
        ),
    )
    if not response.is_released:
        sys.stderr.write(f'request {fingerprint} is not quarantined\n')
        sys.exit(_NOT_QUARANTINED)
