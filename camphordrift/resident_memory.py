"""Measures the resident memory of this process, and its growth while importing an entry VM.

This module imports no other module of the package, so that the first measurement includes none.
"""

import importlib
import os
import platform
from dataclasses import dataclass
from pathlib import Path

#: The imports of an entry VM's process, as steps of a label and module names.
IMPORT_STEPS = (
    ("trio", ("trio",)),
    ("HTTP: hypercorn, httpcore, starlette", ("hypercorn.trio", "httpcore", "starlette.routing")),
    ("pydantic, msgpack, cryptography", ("pydantic", "msgpack", "cryptography.x509")),
    (
        "metrics: OpenTelemetry, Prometheus",
        ("opentelemetry.sdk.metrics", "opentelemetry.exporter.prometheus"),
    ),
    ("camphordrift's own modules", ("camphordrift.entry",)),
)


@dataclass(frozen=True)
class MemoryStep:
    """The resident memory after one import step."""

    #: Label of the step.
    imported: str

    #: Resident memory after the step, in bytes.
    resident_bytes: int


def resident_bytes() -> int:
    """Returns the resident memory of this process, in bytes; 0 on systems other than Linux."""
    if platform.system() != "Linux":
        return 0
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """Returns the number of open descriptors of this process; 0 if the system does not list them.

    Listing them takes a descriptor as well, and fails if none is left.
    """
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


def measure_imports() -> tuple[MemoryStep, ...]:
    """Imports the modules of an entry VM; returns the memory before them and after each step.

    Call it before other imports: modules that are already imported add no memory.
    """
    steps = [MemoryStep("the interpreter and the command line", resident_bytes())]
    for name, modules in IMPORT_STEPS:
        for module in modules:
            importlib.import_module(module)
        steps.append(MemoryStep(name, resident_bytes()))
    return tuple(steps)
