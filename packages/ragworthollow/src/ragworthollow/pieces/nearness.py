"""Choose where the pieces of a stage are best made."""

from collections.abc import Mapping

from ragworthollow.conf import global_settings


def choose_domain(bytes_by_domain: Mapping[str, float]) -> str:
    """
    Choose the failure domain in which a stage moves the fewest bytes.

    Every piece of a stage reads all results of the stages before it, so a
    stage of ten pieces behind six results of 60 kB moves 3.6 MB, ten times
    what its request's own reader would.  Made where most of them lie, these
    stay inside one domain.

    Parameters
    ----------
    bytes_by_domain : mapping of str to float
        Bytes that the pieces read or their results are read, by the domain
        at the other end.

    Returns
    -------
    str
        Empty where the bytes are not worth waiting for a near instance.
    """
    if not bytes_by_domain:
        return ''
    best = max(bytes_by_domain, key=bytes_by_domain.__getitem__)
    if bytes_by_domain[best] < global_settings.NEAR_BYTES:
        return ''
    return best
