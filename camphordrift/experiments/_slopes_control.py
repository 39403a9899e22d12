"""Measures membership, account limits, platform lists and load reports as capacity series."""

import json
from collections.abc import Callable, Iterable, Mapping, Sequence

from camphordrift.backend_http._engine_wire import encode_load
from camphordrift.backend_servers import LoadReport
from camphordrift.experiments._control_slopes import (
    DecisionCost,
    measure_account_state,
    measure_membership_state,
    measure_server_state,
    measure_vm_cost,
)
from camphordrift.experiments._slope_series import Series, SeriesDefinition
from camphordrift.experiments._slope_values import engine_name
from camphordrift.identifiers import Incarnation, ModelName

#: Entries of the platform's lists, in the format of the stand-in.
_VM_ENTRY = {"address": "10.100.100.100", "peer_port": 7400, "zone": "zone-00", "leaving": False}
_SERVER_ENTRY = {"url": "http://10.100.100.100:8000", "zone": "zone-00", "leaving": False}

#: Number of VMs while the number of active accounts varies.
VM_COUNT = 7

_VM_BYTES = SeriesDefinition(
    "control_bytes_by_vms",
    "membership over streams in memory under virtual time, packet headers included; no accounts",
    "VMs",
    "B/s sent by a VM",
)
_VM_CPU = SeriesDefinition(
    "control_cpu_by_vms",
    "the same runs: processor time of all VMs, divided by their number",
    "VMs",
    "ms CPU a second on a VM",
)
_ACCOUNT_BYTES = SeriesDefinition(
    "control_bytes_by_accounts",
    "membership and limits of 7 VMs over streams in memory, 25 requests/s on each VM",
    "accounts",
    "B/s sent by a VM",
)
_LIST_BYTES = SeriesDefinition(
    "vm_list_bytes_by_vms",
    "body of the platform's list of VMs, as its stand-in writes it",
    "VMs",
    "bytes",
)
_SERVER_LIST_BYTES = SeriesDefinition(
    "server_list_bytes_by_servers",
    "the backend servers in the same list",
    "backend servers",
    "bytes",
)
_LOAD_BYTES = SeriesDefinition(
    "load_report_bytes_by_models",
    "body of one load report of an engine, without HTTP headers",
    "models on the engine",
    "bytes",
)


def measure_vms(vm_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures sent bytes and CPU time per VM by the number of VMs."""
    costs = {count: measure_vm_cost(count, account_count=0) for count in vm_counts}
    return (
        _VM_BYTES.measure(vm_counts, lambda count: costs[count].sent_bytes),
        _VM_CPU.measure(vm_counts, lambda count: costs[count].cpu_milliseconds),
    )


def measure_busy_accounts(account_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures sent bytes per VM by the number of accounts that send requests."""

    def sent_bytes_at(count: int) -> float:
        return measure_vm_cost(VM_COUNT, count).sent_bytes

    return (_ACCOUNT_BYTES.measure(account_counts, sent_bytes_at),)


def measure_known_vms(vm_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures CPU time and memory of membership by the number of known VMs."""
    description = (
        "membership of one VM: two probes a second sent and answered, the list every two seconds"
    )
    return _decision_series(
        "membership", "vms", description, "VMs", measure_membership_state, vm_counts
    )


def measure_known_servers(server_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures CPU time and memory of the backend server view by the number of servers."""
    description = "backend servers that one VM knows, each answering once a second"
    return _decision_series(
        "server", "servers", description, "servers", measure_server_state, server_counts
    )


def measure_limits(account_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures CPU time and memory of account limits by the number of active accounts."""
    description = "limits of active accounts on one VM that is their home as well, 50 requests/s"
    return _decision_series(
        "limits", "accounts", description, "accounts", measure_account_state, account_counts
    )


def measure_platform_list_bytes(counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures the encoded size of the platform's VM list and backend server list."""

    def vm_list(count: int) -> float:
        return _encoded_list_bytes({**_VM_ENTRY, "vm_id": f"vm-{n:04}"} for n in range(count))

    def server_list(count: int) -> float:
        return _encoded_list_bytes({**_SERVER_ENTRY, "vm_id": engine_name(n)} for n in range(count))

    return _LIST_BYTES.measure(counts, vm_list), _SERVER_LIST_BYTES.measure(counts, server_list)


def measure_load_report_bytes(model_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures the encoded size of a load report by the number of loaded models."""

    def size(count: int) -> float:
        models = tuple(ModelName(f"model-{number}") for number in range(count))
        report = LoadReport(
            engine_name(1), 100_000, Incarnation(1_800_000_000_000), 20, 5, 100_000, 300_000,
            450_000, models,
        )  # fmt: skip
        return float(len(json.dumps(encode_load(report))))

    return (_LOAD_BYTES.measure(model_counts, size),)


def _encoded_list_bytes(entries: Iterable[Mapping[str, object]]) -> float:
    return float(len(json.dumps({"vms": list(entries)}, separators=(",", ":"))))


def _decision_series(
    name: str,
    size_name: str,
    description: str,
    size_unit: str,
    measure: Callable[[int], DecisionCost],
    counts: Sequence[int],
) -> tuple[Series, ...]:
    costs = {count: measure(count) for count in counts}
    cpu = SeriesDefinition(f"{name}_cpu_by_{size_name}", description, size_unit, "ms CPU a second")
    state = SeriesDefinition(f"{name}_state_by_{size_name}", description, size_unit, "bytes")
    return (
        cpu.measure(counts, lambda count: costs[count].cpu_milliseconds),
        state.measure(counts, lambda count: float(costs[count].state_bytes)),
    )
