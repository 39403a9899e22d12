"""Command line of the soak: ``python -m camphordrift.platform.soak --first 1 --seeds 50``."""

import sys
import tempfile
from pathlib import Path

import cyclopts
import trio

from camphordrift.platform.soak import SoakSettings, run_soak
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
    regressions: bool = False,
) -> int:
    """Runs seeds one after the other; keeps the logs of those that fail.

    Args:
        first: The first seed.
        seeds: Number of seeds.
        seconds: Seconds of one run during which faults are injected.
        vms: Number of VMs, each with one relay.
        servers: Number of backend servers of each of the two services.
        callers: Number of concurrent callers.
        regressions: Run the seeds that failed in the past instead.

    """
    failed_seeds = 0
    for seed in REGRESSIONS if regressions else range(first, first + seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        settings = SoakSettings(seed, seconds, vms, servers, callers)
        report = trio.run(run_soak, settings, process_loopback_network(), directory)
        failed_seeds += bool(report.violations)
        status = f"failed, logs in {directory}" if report.violations else "passed"
        outcome_counts = ", ".join(
            f"{outcome}: {count}" for outcome, count in report.outcome_counts.items()
        )
        print(f"seed {seed}: {status} ({outcome_counts})", flush=True)
        for line in report.violations[:MAX_VIOLATIONS_SHOWN]:
            print(f"  {line}")
        if not report.violations:
            for path in directory.iterdir():
                path.unlink()
            directory.rmdir()
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(app())
