"""Capacity of the roles that read and write the log: claims, configuration, operator's tool."""

import math

from camphordrift.calls import CLAIM_PARTITION_COUNT, CallSettings
from camphordrift.configuration import KeeperSettings
from camphordrift.documents import _capacity_sizes as sizes
from camphordrift.documents._capacity_figures import Figures, format_size, number
from camphordrift.documents._capacity_role import RoleReport
from camphordrift.entry import CONFIGURATION_PART_BYTES, RECORD_POLL_SECONDS
from camphordrift.peers._frames import MAXIMUM_FRAME_BYTES
from camphordrift.platform_log import FollowerSettings, WriterSettings

#: Bytes of the response stored with an outcome, in the measurements and calculations.
_RESPONSE_BYTES = 200

#: VMs per zone that read the configuration from the log, in the proposal.
_FOLLOWERS_PER_ZONE = 3

#: Number of VMs to which one VM forwards a change, in the proposal.
_TREE_DEGREE = 8

#: Maximum time from a change's acceptance until it is in force on all VMs, in seconds.
_IN_FORCE_SECONDS = 3.0

#: Appends per second to one claim partition with batching writers, in the proposal.
_APPENDS_PER_PARTITION = 1.0


def claims_role(figures: Figures) -> RoleReport:
    """Returns the capacity of writing claims and following the claim streams."""
    rate = sizes.CLAIMS_PER_SECOND
    settings = CallSettings()
    writer = WriterSettings()
    measured_poll = FollowerSettings().poll_seconds
    appends = figures.at("log_appends_by_calls", rate)
    read = figures.at("log_read_bytes_by_calls", rate)
    replay = figures.line("claims_cpu_by_keys")
    keys = rate * settings.key_max_age_seconds
    state = figures.at("claims_state_by_keys", keys)
    reads = figures.at("log_reads_by_vms", sizes.VMS)
    idle_reads = reads.value * measured_poll / RECORD_POLL_SECONDS
    record = figures.at("claims_record_bytes_by_answer", _RESPONSE_BYTES)
    batching = figures.line("records_per_append_by_calls")
    readable_rate = (sizes.BUDGET_BYTES_PER_SECOND - read.line.base) / read.line.slope
    storable_rate = sizes.BUDGET_BYTES / state.line.slope / settings.key_max_age_seconds
    partitions = math.floor(sizes.LOG_APPENDS_PER_SECOND / _APPENDS_PER_PARTITION * 0.8)
    partition_rate = rate / partitions
    partition_bytes = partition_rate * settings.key_max_age_seconds * state.line.slope
    storable_age = sizes.BUDGET_BYTES / (partition_rate * state.line.slope)
    return RoleReport(
        name="Claim writer and follower",
        mechanism=f"every VM appends its own claims and follows all {CLAIM_PARTITION_COUNT} "
        f"claim streams, reading each every {RECORD_POLL_SECONDS:g} s and after its own appends",
        memory=format_size(state.value),
        messages=f"{format_size(read.value)}/s read, {number(appends.value)} appends/s in total",
        cpu_time=f"{number(replay.base * rate / 1000)} ms/s to apply records",
        assessment="**exceeds** the appends, bytes and memory available",
        steps=(
            f"Calls that run at most once: no rate is specified; {sizes.CLAIMED_SHARE:.0%} of the "
            f"requests is assumed: {sizes.REQUESTS_PER_SECOND:,} × {sizes.CLAIMED_SHARE} = "
            f"{number(rate)}/s.",
            f"Appends if no VM reaches its append budget: {appends.steps}.",
            f"Bytes read by each VM: {read.steps}. The two records of one call have "
            f"{record.steps}, plus an envelope each.",
            f"CPU time: {number(replay.base)} ± {number(replay.base_error)} µs per call "
            f"(`claims_cpu_by_keys`, base; slope {number(replay.slope * 1000)} ± "
            f"{number(replay.slope_error * 1000)} µs per thousand keys) × {number(rate)}/s = "
            f"**{number(replay.base * rate / 1000)} ms/s** on every VM.",
            f"Keys stored for {settings.key_max_age_seconds / sizes.SECONDS_PER_HOUR:g} h: "
            f"{number(rate)} × {settings.key_max_age_seconds:,.0f} s = {number(keys)}.",
            f"Memory: {state.steps}.",
            f"Reads of the log: {reads.steps} with a read every {measured_poll} s, as measured; × "
            f"{measured_poll} / {RECORD_POLL_SECONDS:g} = **{number(idle_reads)}** reads/s at the "
            f"daemon's interval.",
            f"Batching: a VM with limited appends ({writer.appends_per_second:g}/s) puts "
            f"{number(batching.base)} + {number(batching.slope)} × (calls per second) records into "
            f"one append (`records_per_append_by_calls`).",
        ),
        limits=(
            f"{number(appends.value)} appends/s against {sizes.LOG_APPENDS_PER_SECOND}. The "
            f"append budget of each VM is no remedy: {writer.appends_per_second:g}/s × "
            f"{sizes.VMS:,} = {number(writer.appends_per_second * sizes.VMS)}/s; the fair share "
            f"of each would be one append every "
            f"{number(sizes.VMS / sizes.LOG_APPENDS_PER_SECOND)} s.",
            f"{format_size(read.value)}/s read against "
            f"{format_size(sizes.BUDGET_BYTES_PER_SECOND)}/s: "
            f"that budget is exhausted by {number(readable_rate)} calls per second in the fleet.",
            f"{format_size(state.value)} of ledger against {format_size(sizes.BUDGET_BYTES)}: that "
            f"budget is exhausted by {number(storable_rate)} calls per second in the fleet.",
            f"{number(idle_reads)} reads/s of the log even if there are no new records.",
        ),
        proposal=(
            f"{partitions} partitions by the key's hash, each written and followed by one VM of "
            f"its zone (by rendezvous hashing; a second VM follows as a standby). The other VMs "
            f"send it requests over their connections. A writer appends "
            f"{_APPENDS_PER_PARTITION:g}/s: {partitions} × {_APPENDS_PER_PARTITION:g} = "
            f"{partitions} appends/s, below {sizes.LOG_APPENDS_PER_SECOND}; 300 × 0.8 leaves the "
            f"rest for configuration and leases. A claim then waits up to "
            f"{1 / _APPENDS_PER_PARTITION:g} s for its append.",
            f"A partition handles {number(rate)} / {partitions} = {number(partition_rate)} "
            f"calls/s: {number(partition_rate)} × {number(read.line.slope)} B = "
            f"{format_size(partition_rate * read.line.slope)}/s for its writer, close to the whole "
            f"budget; a VM must not write two partitions.",
            f"Its ledger would have {format_size(partition_bytes)} with today's entries and key "
            "age. "
            f"The budget of {format_size(sizes.BUDGET_BYTES)} is enough for "
            f"{number(storable_age / sizes.SECONDS_PER_HOUR)} "
            f"h of keys. So keys need a shorter retention, or finished calls are reduced to a "
            f"digest and an offset ({number(partition_bytes / sizes.BUDGET_BYTES)} times smaller "
            f"than today).",
            "The order of the log still decides: if two VMs both act as the writer of a partition, "
            "they append to the same stream, and only the first claim is valid. So moving a "
            "partition needs no consensus.",
            "A region that cannot reach the log for an hour refuses these calls as not run, as "
            "today.",
        ),
    )


def configuration_role(figures: Figures) -> RoleReport:
    """Returns the capacity of following the configuration stream."""
    keeper = KeeperSettings()
    poll = keeper.follower.poll_seconds
    engines = figures.at("configuration_state_by_engines", sizes.ENGINES)
    accounts = figures.at("configuration_state_by_accounts", sizes.ACCOUNTS)
    encoded = figures.at("checkpoint_bytes_by_engines", sizes.ENGINES)
    encoded_accounts = figures.at("checkpoint_bytes_by_accounts", sizes.ACCOUNTS)
    snapshot = figures.at("snapshot_cpu_by_engines", sizes.ENGINES)
    snapshot_state = figures.at("snapshot_state_by_engines", sizes.ENGINES)
    record = figures.at("record_bytes_by_changes", 1)
    record_cpu = figures.at("record_cpu_by_engines", sizes.ENGINES)
    checkpoint_cpu = figures.at("checkpoint_cpu_by_engines", sizes.ENGINES)
    memory = engines.value + accounts.value + snapshot_state.value
    frame = encoded.value + encoded_accounts.value
    change_cpu = (record_cpu.value + snapshot.value) * sizes.CHANGES_PER_SECOND / 1000
    checkpoints = sizes.CHANGES_PER_DAY / keeper.checkpoint_records
    day_bytes = sizes.CHANGES_PER_DAY * record.value
    checkpoint_day = checkpoints * frame
    reads = sizes.VMS / poll
    followers = sizes.ZONES * _FOLLOWERS_PER_ZONE
    depth = math.ceil(math.log(sizes.VMS_PER_ZONE / _FOLLOWERS_PER_ZONE, _TREE_DEGREE))
    hour_records = sizes.CHANGES_PER_SECOND * sizes.SECONDS_PER_HOUR
    tree_bytes = record.value * sizes.CHANGES_PER_SECOND * (1 + _TREE_DEGREE)
    replaced = sizes.REPLACEMENTS_PER_DAY + sizes.FAILURES_PER_DAY
    return RoleReport(
        name="Configuration follower",
        mechanism=f"every VM polls the stream every {poll} s and applies its records; "
        f"peers transfer the complete state in parts of {format_size(CONFIGURATION_PART_BYTES)}",
        memory=format_size(memory),
        messages=f"{number(record.value * sizes.CHANGES_PER_SECOND)} B/s of records; state "
        f"{format_size(frame)}",
        cpu_time=f"{number(change_cpu)} ms/s; {number(checkpoint_cpu.value)} ms per checkpoint",
        assessment="**does not scale**: too many reads of the log, and the event loop is blocked "
        "too long",
        steps=(
            f"State: {engines.steps}; {accounts.steps}; snapshot {snapshot_state.steps}. Together "
            f"**{format_size(memory)}**.",
            f"Encoded: {encoded.steps}; {encoded_accounts.steps}. Together "
            f"**{format_size(frame)}**.",
            f"A record of one change: {record.steps}. {sizes.CHANGES_PER_DAY:,} changes per day = "
            f"{number(sizes.CHANGES_PER_SECOND)}/s = {format_size(day_bytes)} per day, "
            f"{number(record.value * sizes.CHANGES_PER_SECOND)} B/s.",
            f"CPU time of a change: {record_cpu.steps}; {snapshot.steps}. × "
            f"{number(sizes.CHANGES_PER_SECOND)}/s = **{number(change_cpu)} ms/s**.",
            f"Checkpoints: {sizes.CHANGES_PER_DAY:,} / {keeper.checkpoint_records:,} records = "
            f"{number(checkpoints)} per day × {format_size(frame)} = {format_size(checkpoint_day)} "
            f"per day = {number(checkpoint_day / sizes.SECONDS_PER_DAY)} B/s for each VM that "
            f"reads them.",
        ),
        limits=(
            f"{sizes.VMS:,} / {poll} s = {number(reads)} reads/s of one stream, for only "
            f"{number(sizes.CHANGES_PER_SECOND)} changes/s.",
            f"One checkpoint blocks the event loop: {checkpoint_cpu.steps}, to encode and decode "
            f"it. One snapshot takes {number(snapshot.value / 1000)} ms. At most 63 ms may pass "
            f"between tokens.",
            f"{format_size(memory)} of the {format_size(sizes.BUDGET_BYTES)} are used by this "
            "role.",
        ),
        proposal=(
            f"{_FOLLOWERS_PER_ZONE} VMs of each zone follow the log (the first by rendezvous "
            f"hashing): {followers} / {poll} s = {number(followers / poll)} reads/s. Each VM "
            f"forwards a change to {_TREE_DEGREE} VMs: a tree of depth {depth} for "
            f"{number(sizes.VMS_PER_ZONE)} VMs per zone, "
            f"{format_size(tree_bytes)}/s for a VM that receives once and sends {_TREE_DEGREE} "
            "times.",
            f"In force on all VMs after the poll ({poll} s) and {depth} hops: far below "
            f"{_IN_FORCE_SECONDS:g} s, unless a VM of the tree fails meanwhile; each VM "
            "compares its "
            f"offset with those in its peers' probe responses and requests missing records.",
            f"{replaced:,} VMs per day start without state and receive {format_size(frame)} each: "
            f"{format_size(replaced * frame)} per day, "
            f"{number(replaced * frame / sizes.SECONDS_PER_DAY)} B/s over the whole fleet. The "
            f"state is sent in parts smaller than the maximum frame of "
            f"{format_size(MAXIMUM_FRAME_BYTES)}; encoding and decoding must be done in parts, "
            "too.",
            "A snapshot is updated with the entries of the record instead of being rebuilt, and a "
            "checkpoint is encoded entry by entry as entries change.",
            f"A region disconnected for an hour misses {number(hour_records)} records = "
            f"{format_size(hour_records * record.value)}, which each VM reads quickly after it "
            f"reconnects. Until then it uses its last configuration: no mechanism can meet the "
            f"limit of 3 s there.",
        ),
    )


def operator_role(figures: Figures) -> RoleReport:
    """Returns the capacity of the operator's commands."""
    full_state = figures.at("checkpoint_bytes_by_engines", sizes.ENGINES)
    largest = figures.at("record_bytes_by_changes", 1000)
    dry_run = figures.at("record_cpu_by_engines", sizes.ENGINES)
    return RoleReport(
        name="Operator's tool",
        mechanism="one HTTP request to any VM, which appends the record and waits for the decision",
        memory="none between commands",
        messages=f"{format_size(largest.value)} for the largest record, "
        f"{format_size(full_state.value)} to show everything",
        cpu_time=f"{number(dry_run.value)} µs on the VM per change",
        assessment="sufficient; showing everything needs a filter",
        steps=(
            f"A record of 1,000 changes, the maximum: {largest.steps}.",
            f"A dry run of one change: {dry_run.steps}.",
            f"The complete configuration in force, encoded: {full_state.steps}.",
            f"{sizes.CHANGES_PER_DAY:,} changes per day are "
            f"{number(sizes.CHANGES_PER_SECOND)} appends/s if each is published separately, of "
            f"{sizes.LOG_APPENDS_PER_SECOND} that the log accepts.",
        ),
    )
