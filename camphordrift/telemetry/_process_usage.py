"""Reads the processor time and memory that this process uses."""

import resource
import time
from dataclasses import dataclass

#: Unit in bytes in which Linux reports the peak of resident memory.
_PEAK_UNIT_BYTES = 1024

_STATM_RESIDENT_FIELD = 1


@dataclass(frozen=True)
class ProcessUsage:
    """Processor time and memory of this process, for the state dump."""

    #: Seconds of processor time since the start of the process.
    cpu_seconds: float

    #: Current resident memory in bytes.
    resident_bytes: int

    #: Peak of resident memory in bytes since the start of the process.
    peak_resident_bytes: int


def process_usage() -> ProcessUsage:
    """Returns the current usage of this process; reads ``/proc``, so it needs Linux."""
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
