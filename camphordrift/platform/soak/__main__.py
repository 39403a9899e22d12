"""Command line of the soak: ``python -m camphordrift.platform.soak --first 1 --seeds 50``."""

import re
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated, Literal, Optional

import cyclopts
import trio

from camphordrift.platform.soak import SoakReport, SoakSettings, run_soak
from camphordrift.platform.soak._faults import BASIC_KINDS, FAULT_KINDS
from camphordrift.platform.soak._regressions import REGRESSIONS
from camphordrift.testing import process_loopback_network

#: Maximum number of violations that are printed for one run.
MAX_VIOLATIONS_SHOWN = 20

app = cyclopts.App(name="soak", help="Injects faults into relays that run as real processes.")


@app.default
def soak(
    first: int = 1,
    seeds: int = 1,
    seconds: float = 15.0,
    vms: int = 3,
    servers: int = 4,
    callers: int = 12,
    kinds: Annotated[
        tuple[Literal[FAULT_KINDS], ...],  # type: ignore[valid-type]
        cyclopts.Parameter(consume_multiple=True),
    ] = FAULT_KINDS,
    regressions: bool = False,
    compact: bool = False,
    logs: Optional[Path] = None,
    former: Optional[Path] = None,
) -> int:
    """Runs seeds one after the other; keeps the logs of those that fail.

    Args:
        first: The first seed.
        seeds: Number of seeds.
        seconds: Seconds of one run during which faults are injected.
        vms: Number of VMs, each with one relay.
        servers: Number of backend servers of each of the two services.
        callers: Number of concurrent callers.
        kinds: Kinds of faults, separated by spaces; all kinds by default.
        regressions: Run the seeds that failed in the past instead.
        compact: Print one line for each kind of violation, with their number and the first one.
        logs: Directory for the logs; the system's directory for temporary files by default.
        former: Checkout of an earlier commit. All VMs begin with its build and are replaced by this
            one, one after the other, with a step back; after odd seeds, by the former one again.

    """
    failed_seeds = 0
    if former is not None:
        former = former.resolve(strict=True)
    if regressions:
        kinds = BASIC_KINDS
    for seed in REGRESSIONS if regressions else range(first, first + seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=logs))
        settings = SoakSettings(seed, seconds, vms, servers, callers, kinds, former=former)
        report = trio.run(run_soak, settings, process_loopback_network(), directory)
        failed_seeds += bool(report.violations)
        _print_report(seed, report, directory, compact)
        if not report.violations:
            for path in directory.iterdir():
                path.unlink()
            directory.rmdir()
    return 1 if failed_seeds else 0


def _print_report(seed: int, report: SoakReport, directory: Path, compact: bool) -> None:
    status = f"failed, logs in {directory}" if report.violations else "passed"
    outcome_counts = ", ".join(
        f"{outcome}: {count}" for outcome, count in report.outcome_counts.items()
    )
    print(f"seed {seed}: {status} ({outcome_counts})", flush=True)
    lines = _summaries(report.violations) if compact else report.violations
    for line in lines[:MAX_VIOLATIONS_SHOWN]:
        print(f"  {line}", flush=True)


def _summaries(violations: tuple[str, ...]) -> tuple[str, ...]:
    """Returns one line for the violations that differ only in numbers and quoted text."""
    counts: Counter[str] = Counter()
    examples: dict[str, str] = {}
    for violation in violations:
        kind = re.sub(r"b?'.*'|[a-z]+-[\d.-]+|\d+(\.\d+)?", "#", violation)
        counts[kind] += 1
        examples.setdefault(kind, violation)
    return tuple(f"{count} x {examples[kind]}" for kind, count in counts.most_common())


if __name__ == "__main__":
    sys.exit(app())
