"""Authenticate calls between processes of one deployment."""

import hmac
from collections.abc import Mapping

CLUSTER_HEADER = 'X-Ragworthollow-Cluster-Key'


def is_authentic(headers: Mapping[str, str], cluster_key: str) -> bool:
    """
    Return whether a call comes from a process of this deployment.

    Parameters
    ----------
    headers : mapping
        Headers of the call.
    cluster_key : str
        Shared secret of the deployment.

    Returns
    -------
    bool
        Whether the keys match; they are compared in constant time.
    """
    presented = headers.get(CLUSTER_HEADER, '')
    return hmac.compare_digest(presented.encode(), cluster_key.encode())
