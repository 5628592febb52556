"""Read what a process has used from the kernel."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_KIB = 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """
    Hold the use of one process.

    Attributes
    ----------
    cpu_s : float
        Processor time since its start.
    resident_mib : float
        Resident memory.
    """

    cpu_s: float
    resident_mib: float


def read_usage(pid: int) -> Usage:
    folder = Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rsplit(')', 1)[1].split()
    # User and system time are the 14th and 15th field of the whole line.
    ticks = int(fields[11]) + int(fields[12])
    resident = next(
        line
        for line in (folder / 'status').read_text().splitlines()
        if line.startswith('VmRSS')
    )
    return Usage(
        cpu_s=ticks / _TICKS_PER_SECOND,
        resident_mib=int(resident.split()[1]) / _KIB,
    )
