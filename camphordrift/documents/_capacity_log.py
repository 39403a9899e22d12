"""The capacity of the roles that read and write the log: claims and configuration."""

import math

from camphordrift.calls import CLAIM_PARTITION_COUNT, CallSettings
from camphordrift.configuration import KeeperSettings
from camphordrift.documents import _capacity_sizes as sizes
from camphordrift.documents._capacity_figures import Figures, number, size_text
from camphordrift.documents._capacity_role import RoleReport
from camphordrift.entry import CONFIGURATION_PART_BYTES, RECORD_POLL_SECONDS
from camphordrift.peers._frames import MAXIMUM_FRAME_BYTES
from camphordrift.platform_log import FollowerSettings, WriterSettings

#: Bytes of the answer that an outcome keeps, in the runs and in the arithmetic.
_ANSWER_BYTES = 200

#: VMs of each zone that follow the configuration in the log.
_FOLLOWERS_PER_ZONE = 3

#: VMs to which one VM hands on a change.
_TREE_DEGREE = 8

#: Longest time from a change's acceptance until it is in force everywhere, in seconds.
_IN_FORCE_SECONDS = 3.0

#: Appends a second of one partition of claims, once writers gather them.
_APPENDS_PER_PARTITION = 1.0


def claims_role(figures: Figures) -> RoleReport:
    """Returns the capacity of those that write and follow claims."""
    rate = sizes.CLAIMS_PER_SECOND
    settings = CallSettings()
    writer = WriterSettings()
    measured_poll = FollowerSettings().poll_seconds
    appends = figures.at("log_appends_by_calls", rate)
    read = figures.at("log_read_bytes_by_calls", rate)
    fold = figures.line("claims_cpu_by_keys")
    keys = rate * settings.key_max_age_seconds
    state = figures.at("claims_state_by_keys", keys)
    reads = figures.at("log_reads_by_vms", sizes.VMS)
    idle_reads = reads.value * measured_poll / RECORD_POLL_SECONDS
    record = figures.at("claims_record_bytes_by_answer", _ANSWER_BYTES)
    batch = figures.line("records_per_append_by_calls")
    readable = (sizes.BUDGET_BYTES_PER_SECOND - read.line.base) / read.line.slope
    kept = sizes.BUDGET_BYTES / state.line.slope / settings.key_max_age_seconds
    partitions = math.floor(sizes.LOG_APPENDS_PER_SECOND / _APPENDS_PER_PARTITION * 0.8)
    in_partition = rate / partitions
    partition_bytes = in_partition * settings.key_max_age_seconds * state.line.slope
    fitting_age = sizes.BUDGET_BYTES / (in_partition * state.line.slope)
    return RoleReport(
        name="Claim writer and follower",
        mechanism=f"every VM appends its own claims and follows all {CLAIM_PARTITION_COUNT} "
        f"claim streams, reading each every {RECORD_POLL_SECONDS:g} s and after its own appends",
        memory=size_text(state.value),
        messages=f"{size_text(read.value)}/s read, {number(appends.value)} appends/s in all",
        processor=f"{number(fold.base * rate / 1000)} ms/s to fold",
        verdict="**breaks** in appends, bytes and memory",
        steps=(
            f"Calls that may not be repeated: no size is given; {sizes.CLAIMED_SHARE:.0%} of the "
            f"requests is assumed: {sizes.REQUESTS_PER_SECOND:,} × {sizes.CLAIMED_SHARE} = "
            f"{number(rate)}/s.",
            f"Appends while no VM's budget binds: {appends.steps}.",
            f"Bytes that each VM reads: {read.steps}. The records of one call are {record.steps}, "
            f"and an envelope for each of the two.",
            f"Processor: {number(fold.base)} ± {number(fold.base_error)} µs a call "
            f"(`claims_cpu_by_keys`, its base; slope {number(fold.slope * 1000)} ± "
            f"{number(fold.slope_error * 1000)} µs for each thousand keys) × {number(rate)}/s = "
            f"**{number(fold.base * rate / 1000)} ms/s** on every VM.",
            f"Keys remembered for {settings.key_max_age_seconds / sizes.SECONDS_PER_HOUR:g} h: "
            f"{number(rate)} × {settings.key_max_age_seconds:,.0f} s = {number(keys)}.",
            f"Memory: {state.steps}.",
            f"Reads of the log: {reads.steps} with a read each {measured_poll} s, as measured; × "
            f"{measured_poll} / {RECORD_POLL_SECONDS:g} = **{number(idle_reads)}** reads/s as the "
            f"daemon reads.",
            f"Batches: a VM whose appends are bounded ({writer.appends_per_second:g}/s) puts "
            f"{number(batch.base)} + {number(batch.slope)} × (calls a second) records into one "
            f"append (`records_per_append_by_calls`).",
        ),
        breaks=(
            f"{number(appends.value)} appends/s against {sizes.LOG_APPENDS_PER_SECOND}. Each VM's "
            f"own budget does not help: {writer.appends_per_second:g}/s × {sizes.VMS:,} = "
            f"{number(writer.appends_per_second * sizes.VMS)}/s; the fleet's part of each would be "
            f"one append every {number(sizes.VMS / sizes.LOG_APPENDS_PER_SECOND)} s.",
            f"{size_text(read.value)}/s read against {size_text(sizes.BUDGET_BYTES_PER_SECOND)}/s: "
            f"that budget is used up by {number(readable)} calls a second in the whole fleet.",
            f"{size_text(state.value)} of ledger against {size_text(sizes.BUDGET_BYTES)}: that is "
            f"used up by {number(kept)} calls a second in the whole fleet.",
            f"{number(idle_reads)} reads/s of the log although nothing is new.",
        ),
        instead=(
            f"{partitions} partitions by the key's hash, each written and followed by one VM of "
            f"its zone (rendezvous hash; a second one follows to take over), which the others ask "
            f"over a stream between VMs. A writer appends {_APPENDS_PER_PARTITION:g}/s: "
            f"{partitions} × {_APPENDS_PER_PARTITION:g} = {partitions} appends/s, below "
            f"{sizes.LOG_APPENDS_PER_SECOND}; 300 × 0.8 leaves the rest for configuration and "
            f"leases. A claim then waits up to "
            f"{1 / _APPENDS_PER_PARTITION:g} s for its append.",
            f"A partition has {number(rate)} / {partitions} = {number(in_partition)} calls/s: "
            f"{number(in_partition)} × {number(read.line.slope)} B = "
            f"{size_text(in_partition * read.line.slope)}/s for its writer, close to the whole "
            f"budget; a VM must not have two.",
            f"Its ledger would be {size_text(partition_bytes)} with today's entries and key age. "
            f"In {size_text(sizes.BUDGET_BYTES)} fit "
            f"{number(fitting_age / sizes.SECONDS_PER_HOUR)} "
            f"h of keys. So keys are kept for less long, or finished ones shrink to a digest and "
            f"an offset ({number(partition_bytes / sizes.BUDGET_BYTES)} times smaller than today).",
            "The referee stays the log's order: two VMs that both believe to be the writer of a "
            "partition append to the same stream, and only the first claim stands. So moving a "
            "partition needs no agreement.",
            "A region that loses the log for an hour refuses these calls as not run, as today.",
        ),
    )


def configuration_role(figures: Figures) -> RoleReport:
    """Returns the capacity of a follower of the configuration."""
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
        mechanism=f"every VM polls the stream every {poll} s and folds it; peers hand on the whole "
        f"state in parts of {size_text(CONFIGURATION_PART_BYTES)}",
        memory=size_text(memory),
        messages=f"{number(record.value * sizes.CHANGES_PER_SECOND)} B/s of records; state "
        f"{size_text(frame)}",
        processor=f"{number(change_cpu)} ms/s; {number(checkpoint_cpu.value)} ms a checkpoint",
        verdict="**breaks** in polling, and in pauses of the loop",
        steps=(
            f"State: {engines.steps}; {accounts.steps}; snapshot {snapshot_state.steps}. Together "
            f"**{size_text(memory)}**.",
            f"Encoded: {encoded.steps}; {encoded_accounts.steps}. Together **{size_text(frame)}**.",
            f"A record of one change: {record.steps}. {sizes.CHANGES_PER_DAY:,} changes a day = "
            f"{number(sizes.CHANGES_PER_SECOND)}/s = {size_text(day_bytes)} a day, "
            f"{number(record.value * sizes.CHANGES_PER_SECOND)} B/s.",
            f"Processor for a change: {record_cpu.steps}; {snapshot.steps}. × "
            f"{number(sizes.CHANGES_PER_SECOND)}/s = **{number(change_cpu)} ms/s**.",
            f"Checkpoints: {sizes.CHANGES_PER_DAY:,} / {keeper.checkpoint_records:,} records = "
            f"{number(checkpoints)} a day × {size_text(frame)} = {size_text(checkpoint_day)} a day "
            f"= {number(checkpoint_day / sizes.SECONDS_PER_DAY)} B/s for each VM that reads them.",
        ),
        breaks=(
            f"{sizes.VMS:,} / {poll} s = {number(reads)} reads/s of one stream, for "
            f"{number(sizes.CHANGES_PER_SECOND)} changes/s.",
            f"One checkpoint holds the loop: {checkpoint_cpu.steps}, to encode and decode it. One "
            f"snapshot takes {number(snapshot.value / 1000)} ms. Both stand against 63 ms between "
            f"tokens.",
            f"{size_text(memory)} of the {size_text(sizes.BUDGET_BYTES)} are used by this part.",
        ),
        instead=(
            f"{_FOLLOWERS_PER_ZONE} VMs of each zone follow the log (the first by rendezvous "
            f"hash): {followers} / {poll} s = {number(followers / poll)} reads/s. Each hands a "
            f"change to {_TREE_DEGREE} VMs, and so on: depth {depth} for "
            f"{number(sizes.VMS_PER_ZONE)} VMs a zone, "
            f"{size_text(tree_bytes)}/s for a VM that receives once and sends {_TREE_DEGREE} "
            "times.",
            f"In force everywhere after the poll ({poll} s) and {depth} hops: far below "
            f"{_IN_FORCE_SECONDS:g} s, unless a VM of the tree dies meanwhile; each VM "
            "compares its "
            f"offset with the one in its neighbours' probe answers and asks for what it misses.",
            f"{replaced:,} VMs a day start anew and take {size_text(frame)} each: "
            f"{size_text(replaced * frame)} a day, "
            f"{number(replaced * frame / sizes.SECONDS_PER_DAY)}"
            f" B/s over the whole fleet. The state travels in parts below the frame of "
            f"{size_text(MAXIMUM_FRAME_BYTES)}; encoding and decoding have to go in parts, too.",
            "A snapshot is changed by the entries of the record instead of being made anew, and a "
            "checkpoint is encoded entry by entry as they change.",
            f"A region cut off for an hour misses {number(hour_records)} records = "
            f"{size_text(hour_records * record.value)}, which each VM reads in a moment once it is "
            f"back. Meanwhile it serves with what it has, and 3 s cannot be kept there: no "
            f"mechanism can.",
        ),
    )


def operator_role(figures: Figures) -> RoleReport:
    """Returns the capacity of the operator's tool."""
    whole = figures.at("checkpoint_bytes_by_engines", sizes.ENGINES)
    largest = figures.at("record_bytes_by_changes", 1000)
    verdict = figures.at("record_cpu_by_engines", sizes.ENGINES)
    return RoleReport(
        name="Operator's tool",
        mechanism="one HTTP request to any VM, which appends the record and waits for its verdict",
        memory="none between commands",
        messages=f"{size_text(largest.value)} for the largest record, "
        f"{size_text(whole.value)} to show everything",
        processor=f"{number(verdict.value)} µs on the VM for a change",
        verdict="holds; showing everything wants a filter",
        steps=(
            f"A record of 1,000 changes, the most allowed: {largest.steps}.",
            f"A dry run of one change: {verdict.steps}.",
            f"Everything in force, encoded: {whole.steps}.",
            f"{sizes.CHANGES_PER_DAY:,} changes a day are "
            f"{number(sizes.CHANGES_PER_SECOND)} appends/s if each is published by itself, of "
            f"{sizes.LOG_APPENDS_PER_SECOND} that the log takes.",
        ),
    )
