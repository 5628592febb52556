"""Find how many file descriptors a process may open."""

import resource

# Where neither is set.
_UNLIMITED = 65_536


def find_descriptor_limit(max_descriptors: int) -> int:
    """
    Return the lower one of a setting and the limit of the kernel.

    Parameters
    ----------
    max_descriptors : int
        Setting of the process; 0 if there is none.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [
        count
        for count in (max_descriptors, limit)
        if count not in {0, resource.RLIM_INFINITY}
    ]
    return min(limits, default=_UNLIMITED)
