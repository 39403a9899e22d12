"""Resident memory of this process, and how it grows with what an entry VM imports.

It imports nothing of the package, so that the growth is seen from the start.
"""

import importlib
import os
import platform
from dataclasses import dataclass
from pathlib import Path

#: What an entry VM's process imports, in steps.
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
    """The resident memory after one step."""

    #: What was imported.
    imported: str

    #: Resident memory after it, in bytes.
    resident_bytes: int


def resident_bytes() -> int:
    """Returns the resident memory of this process, in bytes; 0 where the system does not tell."""
    if platform.system() != "Linux":
        return 0
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure_imports() -> tuple[MemoryStep, ...]:
    """Imports what an entry VM needs, and returns the memory before it and after each step.

    Call it first in a process: what is imported already adds nothing.
    """
    steps = [MemoryStep("the interpreter and the command line", resident_bytes())]
    for name, modules in IMPORT_STEPS:
        for module in modules:
            importlib.import_module(module)
        steps.append(MemoryStep(name, resident_bytes()))
    return tuple(steps)
