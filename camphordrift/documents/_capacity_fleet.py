"""Capacity of membership and of the coordination of client accounts' limits.

The home VM of an account coordinates its limits: it leases shares of them to the other VMs.
"""

from camphordrift.documents import _capacity_sizes as sizes
from camphordrift.documents._capacity_figures import Figures, format_size, number
from camphordrift.documents._capacity_role import RoleReport
from camphordrift.membership._service import LIST_INTERVAL_SECONDS

#: Largest number of active accounts on one VM in the measurements of whole VMs.
_ACTIVE_ACCOUNTS = 200


def membership_role(figures: Figures) -> RoleReport:
    """Returns the capacity of membership on one VM."""
    sent = figures.at("control_bytes_by_vms", sizes.VMS)
    cpu = figures.at("control_cpu_by_vms", sizes.VMS)
    view_cpu = figures.at("membership_cpu_by_vms", sizes.VMS)
    state = figures.at("membership_state_by_vms", sizes.VMS)
    servers = figures.at("server_state_by_servers", sizes.ENGINES)
    server_cpu = figures.at("server_cpu_by_servers", sizes.ENGINES)
    list_bytes = figures.at("vm_list_bytes_by_vms", sizes.VMS)
    server_list_bytes = figures.at("server_list_bytes_by_servers", sizes.ENGINES)
    list_rate = (list_bytes.value + server_list_bytes.value) / LIST_INTERVAL_SECONDS
    changes = sizes.FAILURES_PER_DAY + sizes.REPLACEMENTS_PER_DAY
    zone_cpu = figures.at("membership_cpu_by_vms", sizes.VMS_PER_ZONE)
    zone_state = figures.at("membership_state_by_vms", sizes.VMS_PER_ZONE)
    largest = max(point.size for point in sent.series.points)
    measured = max(sent.series.points, key=lambda point: point.size)
    memory = state.value + servers.value
    cpu_time = view_cpu.value + server_cpu.value
    return RoleReport(
        name="Membership",
        mechanism="each VM probes a few VMs, sends updates with the probes and reads the "
        "platform's list every two seconds; each VM stores all VMs and all backend servers",
        memory=format_size(memory),
        messages=f"{number(measured.cost)} B/s measured with {number(largest)} VMs, and "
        f"{format_size(list_rate)}/s for the list",
        cpu_time=f"{number(cpu_time)} ms/s for decisions",
        assessment="**exceeds** the budget of bytes for the list and of CPU time for the full "
        "member list",
        steps=(
            f"Bytes sent to other VMs by each VM: {sent.steps}. From 12 VMs on, each probes a "
            f"fixed number, so the cost is not linear; the measured value with {number(largest)} "
            f"VMs is {number(measured.cost)} B/s, and the same amount is received.",
            f"CPU time of a whole VM with in-memory connections: {cpu.steps}; this is not "
            f"linear, either.",
            f"CPU time of decisions with this number of VMs: {view_cpu.steps}.",
            f"CPU time of decisions with this number of backend servers, each of which responds "
            f"once per second: {server_cpu.steps}.",
            f"State: {state.steps}; {servers.steps}. Together **{format_size(memory)}**.",
            f"The platform's list: {list_bytes.steps}; {server_list_bytes.steps}; every "
            f"{LIST_INTERVAL_SECONDS:g} s = "
            f"{format_size(list_rate)}/s.",
            f"Updates: {sizes.FAILURES_PER_DAY} + {sizes.REPLACEMENTS_PER_DAY:,} = {changes:,} per "
            f"day, one every {number(sizes.SECONDS_PER_DAY / changes)} s.",
        ),
        limits=(
            f"The list alone takes {format_size(list_rate)}/s, against "
            f"{format_size(sizes.BUDGET_BYTES_PER_SECOND)}/s for all control, and "
            f"{number(sizes.VMS / LIST_INTERVAL_SECONDS)} reads/s from the platform.",
            f"{number(cpu_time)} ms/s for the full member list against {sizes.BUDGET_CPU_MS:g} "
            f"ms/s for all control.",
        ),
        proposal=(
            f"A VM stores the VMs of its zone ({number(sizes.VMS_PER_ZONE)}) and a few of each "
            f"other zone. CPU time of decisions: {zone_cpu.steps}; state: {zone_state.steps}.",
            f"Three VMs of a zone read the list and forward its changes; with {changes:,} "
            f"changes per day these are a few bytes per second.",
            "A VM stores only the backend servers of the pools that it requests grants from or "
            "coordinates.",
            "Home VMs are chosen within a zone, so that a disconnected region continues with its "
            "own pools; the failure of a rack moves only the pools of its VMs.",
        ),
    )


def limits_role(figures: Figures) -> RoleReport:
    """Returns the capacity of enforcing the limits of client accounts on one VM."""
    state = figures.at("limits_state_by_accounts", sizes.ACCOUNTS)
    cpu = figures.at("limits_cpu_by_accounts", sizes.ACCOUNTS)
    sent = figures.at("control_bytes_by_accounts", _ACTIVE_ACCOUNTS)
    requests = sizes.REQUESTS_PER_VM / sizes.ACCOUNTS
    within_budget = (
        cpu.value <= sizes.BUDGET_CPU_MS and 2 * sent.value <= sizes.BUDGET_BYTES_PER_SECOND
    )
    return RoleReport(
        name="Home VM of an account's limits",
        mechanism="each account has a home VM that leases shares of its limits to the VMs that "
        "request them",
        memory=format_size(state.value),
        messages=f"{number(sent.value)} B/s sent with {_ACTIVE_ACCOUNTS} active accounts",
        cpu_time=f"{number(cpu.value)} ms/s",
        assessment=(
            "within the budget for requesting VMs"
            if within_budget
            else "**exceeds** the budget for requesting VMs"
        ),
        steps=(
            f"State with all accounts active on one VM, including the home VM's state: "
            f"{state.steps}.",
            f"CPU time: {cpu.steps}.",
            f"Bytes sent by a VM, including membership, with 7 VMs: {sent.steps}; the same "
            f"amount is received.",
            f"Requests of one account on one VM: {number(sizes.REQUESTS_PER_VM)} / "
            f"{sizes.ACCOUNTS} = {number(requests)}/s, so a VM receives a request of most "
            f"accounts only every {number(1 / requests)} s.",
        ),
        limits=(
            f"The home VM of one large account serves up to {sizes.VMS:,} VMs. This number was "
            f"not measured; today the home VM limits the bytes by a longer renewal interval, "
            f"with which shares are redistributed more slowly.",
        ),
        proposal=(
            f"Two levels: a home VM in each zone leases the zone's share from the account's home "
            f"VM and leases parts of it to the zone's {number(sizes.VMS_PER_ZONE)} VMs. The "
            f"account's home VM then has {sizes.ZONES} leases instead of {sizes.VMS:,}, and a "
            f"disconnected region continues with its last share until it expires, then with its "
            f"safe share.",
        ),
    )
