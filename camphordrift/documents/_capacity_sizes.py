"""Expected sizes for which the capacity page computes costs, and the budgets it compares with."""

#: Number of entry VMs.
VMS = 2_700

#: Number of engines.
ENGINES = 10_000

#: Models in regular use. Each is assumed to be one service with an equal share of the engines.
MODELS = 8

#: Client accounts in regular use.
ACCOUNTS = 970

#: Number of availability zones, and of the regions that contain them.
ZONES = 16
REGIONS = 6

#: Requests and output tokens per second at peak load.
REQUESTS_PER_SECOND = 130_000
TOKENS_PER_SECOND = 46_000_000

#: Configuration changes per day.
CHANGES_PER_DAY = 16_000

#: VMs that fail per day, and VMs that are restarted or replaced per day.
FAILURES_PER_DAY = 170
REPLACEMENTS_PER_DAY = 1_300

#: Budget of one VM for control: CPU time in ms per second, memory in bytes, bytes per second.
BUDGET_CPU_MS = 13.0
BUDGET_BYTES = 32_000_000
BUDGET_BYTES_PER_SECOND = 4_000

#: Appends per second that the log service accepts, specified as "several hundred".
LOG_APPENDS_PER_SECOND = 300

#: Share of requests that are calls which run at most once. Assumed, since none is specified.
CLAIMED_SHARE = 0.01

SECONDS_PER_DAY = 86_400
SECONDS_PER_HOUR = 3_600

REQUESTS_PER_VM = REQUESTS_PER_SECOND / VMS
TOKENS_PER_VM = TOKENS_PER_SECOND / VMS
ENGINES_PER_SERVICE = ENGINES / MODELS
VMS_PER_ZONE = VMS / ZONES
REQUESTS_PER_ENGINE = REQUESTS_PER_SECOND / ENGINES
CHANGES_PER_SECOND = CHANGES_PER_DAY / SECONDS_PER_DAY
CLAIMS_PER_SECOND = REQUESTS_PER_SECOND * CLAIMED_SHARE
