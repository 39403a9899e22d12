"""Command line of the soak: ``python -m camphordrift.platform.soak --first 1 --seeds 50``."""

import sys
import tempfile
from pathlib import Path

import cyclopts
import trio

from camphordrift.platform.soak import SoakSettings, run_soak
from camphordrift.platform.soak._regressions import REGRESSIONS
from camphordrift.testing import process_loopback_network

#: Promises not kept that are shown of one run.
LINES_SHOWN = 20

app = cyclopts.App(name="soak", help="Faults against relays that run as real processes.")


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
    """Plays seeds one after the other; keeps the logs of those that fail.

    Args:
        first: The first seed.
        seeds: How many seeds.
        seconds: Time with faults in one run.
        vms: Relays.
        servers: Servers of each of the two services.
        callers: Callers.
        regressions: Play the seeds that failed once instead.

    """
    failed = 0
    for seed in REGRESSIONS if regressions else range(first, first + seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        settings = SoakSettings(seed, seconds, vms, servers, callers)
        report = trio.run(run_soak, settings, process_loopback_network(), directory)
        failed += bool(report.broken)
        verdict = f"failed, logs in {directory}" if report.broken else "kept"
        counts = ", ".join(f"{way}: {count}" for way, count in report.counts.items())
        print(f"seed {seed}: {verdict} ({counts})", flush=True)
        for line in report.broken[:LINES_SHOWN]:
            print(f"  {line}")
        if not report.broken:
            for path in directory.iterdir():
                path.unlink()
            directory.rmdir()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app())
