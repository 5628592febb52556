"""Choose the preferred failure domain for the pieces of a stage."""

from collections.abc import Mapping

from ragworthollow.conf import global_settings


def choose_local_domain(bytes_by_domain: Mapping[str, float]) -> str:
    """
    Choose the failure domain that minimises traffic between domains.

    Every piece of a stage reads all results of the preceding stages.  A stage
    of ten pieces that reads six results of 60 kB moves 3.6 MB, ten times what
    the final consumer of these results would read.  Running the stage where
    most of its inputs are stored keeps this traffic inside one domain.

    Parameters
    ----------
    bytes_by_domain : mapping of str to float
        Bytes that the pieces read, and bytes of their results that are read,
        by the domain at the other end.

    Returns
    -------
    str
        Empty if the traffic is too small to wait for an instance in a
        particular domain.
    """
    if not bytes_by_domain:
        return ''
    best = max(bytes_by_domain, key=bytes_by_domain.__getitem__)
    if bytes_by_domain[best] < global_settings.LOCALITY_MIN_BYTES:
        return ''
    return best
