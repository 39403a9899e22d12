"""What the process has used of its machine."""

import resource
import time
from dataclasses import dataclass

#: The operating system counts the peak of resident memory in units of this many bytes.
_PEAK_UNIT_BYTES = 1024

_STATM_RESIDENT_FIELD = 1


@dataclass(frozen=True)
class ProcessUsage:
    """Processor time and memory of this process, for the state dump."""

    #: Processor time since the start, in seconds.
    cpu_seconds: float

    #: Resident memory now, in bytes.
    resident_bytes: int

    #: The highest resident memory so far, in bytes.
    peak_resident_bytes: int


def process_usage() -> ProcessUsage:
    """Returns what this process has used so far."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return ProcessUsage(
        cpu_seconds=time.process_time(),
        resident_bytes=_resident_bytes(),
        peak_resident_bytes=usage.ru_maxrss * _PEAK_UNIT_BYTES,
    )


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[_STATM_RESIDENT_FIELD])
    return pages * resource.getpagesize()
