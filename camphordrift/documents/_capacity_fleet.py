"""The capacity of the roles that know the fleet: membership and the limits of accounts."""

from camphordrift.documents import _capacity_sizes as sizes
from camphordrift.documents._capacity_figures import Figures, number, size_text
from camphordrift.documents._capacity_role import RoleReport
from camphordrift.membership._service import LIST_INTERVAL_SECONDS

#: Busy accounts of one VM that the whole-VM runs go up to.
_BUSY_ACCOUNTS = 200


def membership_role(figures: Figures) -> RoleReport:
    """Returns the capacity of membership on one VM."""
    sent = figures.at("control_bytes_by_vms", sizes.VMS)
    cpu = figures.at("control_cpu_by_vms", sizes.VMS)
    view_cpu = figures.at("membership_cpu_by_vms", sizes.VMS)
    state = figures.at("membership_state_by_vms", sizes.VMS)
    servers = figures.at("server_state_by_servers", sizes.ENGINES)
    server_cpu = figures.at("server_cpu_by_servers", sizes.ENGINES)
    listing = figures.at("vm_list_bytes_by_vms", sizes.VMS)
    server_listing = figures.at("server_list_bytes_by_servers", sizes.ENGINES)
    list_rate = (listing.value + server_listing.value) / LIST_INTERVAL_SECONDS
    changes = sizes.FAILURES_PER_DAY + sizes.REPLACEMENTS_PER_DAY
    zone_cpu = figures.at("membership_cpu_by_vms", sizes.VMS_PER_ZONE)
    zone_state = figures.at("membership_state_by_vms", sizes.VMS_PER_ZONE)
    largest = max(point.size for point in sent.series.points)
    measured = max(sent.series.points, key=lambda point: point.size)
    memory = state.value + servers.value
    processor = view_cpu.value + server_cpu.value
    return RoleReport(
        name="Membership",
        mechanism="probes of a few VMs, news passed on with them, and the platform's list read "
        "every two seconds; each VM knows all VMs and all backend servers",
        memory=size_text(memory),
        messages=f"{number(measured.cost)} B/s measured with {number(largest)} VMs, and "
        f"{size_text(list_rate)}/s for the list",
        processor=f"{number(processor)} ms/s of decisions",
        verdict="**breaks** in the bytes of the list and the processor time of whole views",
        steps=(
            f"Bytes sent over the streams by each VM: {sent.steps}. From 12 VMs on each probes a "
            f"fixed number, so the line is no law; what was measured with {number(largest)} VMs is "
            f"{number(measured.cost)} B/s, and as much is received.",
            f"Processor time of a whole VM over streams in memory: {cpu.steps}; the same holds.",
            f"Decisions with so many VMs: {view_cpu.steps}.",
            f"Decisions with so many backend servers, each answering once a second: "
            f"{server_cpu.steps}.",
            f"State: {state.steps}; {servers.steps}. Together **{size_text(memory)}**.",
            f"The platform's list: {listing.steps}; {server_listing.steps}; every "
            f"{LIST_INTERVAL_SECONDS:g} s = "
            f"{size_text(list_rate)}/s.",
            f"News: {sizes.FAILURES_PER_DAY} + {sizes.REPLACEMENTS_PER_DAY:,} = {changes:,} a day, "
            f"one every {number(sizes.SECONDS_PER_DAY / changes)} s.",
        ),
        breaks=(
            f"The list alone is {size_text(list_rate)}/s, against "
            f"{size_text(sizes.BUDGET_BYTES_PER_SECOND)}/s for all control, and "
            f"{number(sizes.VMS / LIST_INTERVAL_SECONDS)} reads/s for the platform.",
            f"{number(processor)} ms/s for whole views against {sizes.BUDGET_CPU_MS:g} ms/s for "
            f"all control.",
        ),
        instead=(
            f"A VM knows the VMs of its zone ({number(sizes.VMS_PER_ZONE)}) and a few of each "
            f"other zone. Decisions then take {zone_cpu.steps}; state {zone_state.steps}.",
            f"Three VMs of a zone read the list and pass on what has changed; with {changes:,} "
            f"changes a day that is a few bytes a second.",
            "It knows the backend servers of the pools that it asks or is home to, not all.",
            "Homes are chosen within a zone, so that a region that is cut off goes on with its own "
            "pools; a rack that dies moves only its own pools.",
        ),
    )


def limits_role(figures: Figures) -> RoleReport:
    """Returns the capacity of the limits of client accounts on one VM."""
    state = figures.at("limits_state_by_accounts", sizes.ACCOUNTS)
    cpu = figures.at("limits_cpu_by_accounts", sizes.ACCOUNTS)
    sent = figures.at("control_bytes_by_accounts", _BUSY_ACCOUNTS)
    requests = sizes.REQUESTS_PER_VM / sizes.ACCOUNTS
    holds = cpu.value <= sizes.BUDGET_CPU_MS and 2 * sent.value <= sizes.BUDGET_BYTES_PER_SECOND
    return RoleReport(
        name="Home VM of an account's limits",
        mechanism="each account has a home VM that leases shares of its limits to the VMs that ask",
        memory=size_text(state.value),
        messages=f"{number(sent.value)} B/s sent with {_BUSY_ACCOUNTS} busy accounts",
        processor=f"{number(cpu.value)} ms/s",
        verdict="holds on the asking side" if holds else "**over the budget** on the asking side",
        steps=(
            f"State with all accounts active on one VM, its side and the home's: {state.steps}.",
            f"Processor time: {cpu.steps}.",
            f"Bytes that a VM sends, membership included, 7 VMs: {sent.steps}; as much is "
            f"received.",
            f"Requests of one account on one VM: {number(sizes.REQUESTS_PER_VM)} / "
            f"{sizes.ACCOUNTS} = {number(requests)}/s, so a VM sees most accounts only every "
            f"{number(1 / requests)} s.",
        ),
        breaks=(
            f"The home of one large account is asked by up to {sizes.VMS:,} VMs. Its asks were not "
            f"measured at that number; today it tells them to ask less often so that the bytes "
            f"stay bounded, and leases then move more slowly.",
        ),
        instead=(
            f"Two levels: a home in each zone asks the account's home for the zone's share, and "
            f"leases it to the zone's {number(sizes.VMS_PER_ZONE)} VMs. The account's home then "
            f"has {sizes.ZONES} leases instead of {sizes.VMS:,}, and a region that is cut off "
            f"goes on with its last share until it lapses, then with its safe share.",
        ),
    )
