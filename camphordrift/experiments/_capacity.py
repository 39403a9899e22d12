"""Registry and runner of the capacity experiments, which measure how costs grow with size."""

import os
import platform
import shlex
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from types import MappingProxyType

from camphordrift.experiments._capacity_results import Machine, Measurements
from camphordrift.experiments._slope_series import Series
from camphordrift.experiments._slopes_claims import (
    measure_batches,
    measure_claim_records,
    measure_ledger,
    measure_log_reads,
    measure_log_usage,
)
from camphordrift.experiments._slopes_configuration import (
    measure_configuration_by_accounts,
    measure_configuration_by_engines,
    measure_record_bytes,
)
from camphordrift.experiments._slopes_control import (
    measure_busy_accounts,
    measure_known_servers,
    measure_known_vms,
    measure_limits,
    measure_load_report_bytes,
    measure_platform_list_bytes,
    measure_vms,
)
from camphordrift.experiments._slopes_relay import (
    measure_relay_by_event_size,
    measure_relay_by_tokens,
)
from camphordrift.experiments._slopes_requests import measure_permissions, measure_request_cpu
from camphordrift.experiments._slopes_scheduler import (
    measure_prefix_cache_estimate,
    measure_scheduler_by_engines,
    measure_scheduler_by_queue,
)
from camphordrift.resident_memory import MemoryStep


@dataclass(frozen=True)
class CapacityExperiment:
    """One capacity experiment: its function and the sizes that it measures."""

    #: Measures every given size and returns one series for each measured cost.
    run: Callable[[Sequence[int]], tuple[Series, ...]]

    #: Sizes of a full run, whose results are published; at least four, for the line fit.
    sizes: tuple[int, ...]

    #: Small sizes for tests, which only check that the experiment runs.
    small_sizes: tuple[int, ...]


#: All experiments, by their name on the command line.
CAPACITY_EXPERIMENTS: Mapping[str, CapacityExperiment] = MappingProxyType(
    {
        "request": CapacityExperiment(measure_request_cpu, (1, 10, 100, 300, 1000), (1, 2)),
        "permissions": CapacityExperiment(measure_permissions, (20, 100, 400, 1250, 3000), (2, 4)),
        "relay": CapacityExperiment(measure_relay_by_tokens, (120, 240, 480, 960), (8, 16)),
        "relay-events": CapacityExperiment(measure_relay_by_event_size, (1, 2, 4, 8, 16), (8, 16)),
        "scheduler": CapacityExperiment(
            measure_scheduler_by_engines, (4, 8, 16, 32, 64, 128), (1, 2)
        ),
        "queue": CapacityExperiment(measure_scheduler_by_queue, (10, 50, 100, 200, 400), (1, 2)),
        "configuration": CapacityExperiment(
            measure_configuration_by_engines, (30, 100, 300, 1000, 3000), (2, 4)
        ),
        "accounts-configuration": CapacityExperiment(
            measure_configuration_by_accounts, (10, 100, 300, 970), (2, 4)
        ),
        "record": CapacityExperiment(measure_record_bytes, (1, 10, 100, 1000), (1, 2)),
        "vms": CapacityExperiment(measure_vms, (3, 7, 14, 28, 50), (2, 3)),
        "busy-accounts": CapacityExperiment(measure_busy_accounts, (5, 10, 50, 200), (1, 2)),
        "known-vms": CapacityExperiment(measure_known_vms, (7, 50, 169, 500, 2700), (2, 4)),
        "known-servers": CapacityExperiment(measure_known_servers, (20, 100, 300, 1000), (2, 4)),
        "limits": CapacityExperiment(measure_limits, (10, 100, 300, 970), (2, 4)),
        "list": CapacityExperiment(measure_platform_list_bytes, (10, 100, 1000, 2700), (1, 2)),
        "load-report": CapacityExperiment(measure_load_report_bytes, (1, 2, 4, 8), (1, 2)),
        "ledger": CapacityExperiment(measure_ledger, (1000, 2000, 5000, 10_000), (10, 20)),
        "claim-records": CapacityExperiment(measure_claim_records, (0, 200, 1000, 4000), (0, 1)),
        "log": CapacityExperiment(measure_log_usage, (5, 10, 20, 40, 80), (1, 2)),
        "batches": CapacityExperiment(measure_batches, (50, 100, 200, 400, 800), (1, 2)),
        "log-reads": CapacityExperiment(measure_log_reads, (2, 4, 7, 14), (1, 2)),
        "cache-knowledge": CapacityExperiment(
            measure_prefix_cache_estimate, (1_000, 3_000, 10_000, 30_000), (10, 20)
        ),
    }
)


def run_capacity(memory: Sequence[MemoryStep], names: Sequence[str] = ()) -> Measurements:
    """Runs the named experiments, or all of them if no name is given, which takes minutes.

    ``memory`` comes from :func:`camphordrift.resident_memory.measure_imports`. It must be measured
    before this module is imported, because this module imports what the steps measure. Raises
    ``KeyError`` for an unknown name.
    """
    date = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
    machine = _machine()
    selected = [CAPACITY_EXPERIMENTS[name] for name in names or CAPACITY_EXPERIMENTS]
    series = [item for experiment in selected for item in experiment.run(experiment.sizes)]
    command = shlex.join(["camphordrift", *sys.argv[1:]])
    return Measurements(command, date, machine, tuple(memory), tuple(series))


def _machine() -> Machine:
    return Machine(
        cores=os.cpu_count() or 1,
        python=platform.python_version(),
        system=f"{platform.system()} {platform.machine()}",
        load_average=round(os.getloadavg()[0], 1),
    )
