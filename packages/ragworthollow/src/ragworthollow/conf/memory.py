"""Divide the memory of a process among what it holds for others."""

from ragworthollow.conf import global_settings

_BYTES_PER_MB = 1_000_000


def compute_memory_share(memory_mb: float, share: float) -> int:
    """
    Return a share of the memory that is left beside the process itself.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in megabytes.
    share : float
        Fraction of what is left.

    Returns
    -------
    int
        Bytes; a process with very little memory still gets some.
    """
    left_mb = max(
        memory_mb - global_settings.PROCESS_MEMORY_MB,
        memory_mb * global_settings.MIN_MEMORY_SHARE,
    )
    return int(left_mb * share * _BYTES_PER_MB)
