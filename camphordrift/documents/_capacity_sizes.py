"""The sizes that the capacity page works out, and today's numbers that it compares with."""

#: Entry VMs.
VMS = 2_700

#: Engines.
ENGINES = 10_000

#: Models in steady use, taken as one service each with an equal part of the engines.
MODELS = 8

#: Client accounts in steady use.
ACCOUNTS = 970

#: Availability zones, and the regions that they lie in.
ZONES = 16
REGIONS = 6

#: Requests and generated tokens a second at the peak.
REQUESTS_PER_SECOND = 130_000
TOKENS_PER_SECOND = 46_000_000

#: Changes of the configuration a day.
CHANGES_PER_DAY = 16_000

#: VMs that fail, and VMs that are restarted or replaced, a day.
FAILURES_PER_DAY = 170
REPLACEMENTS_PER_DAY = 1_300

#: Control of one VM: processor time a second in ms, memory in bytes, bytes a second.
BUDGET_CPU_MS = 13.0
BUDGET_BYTES = 32_000_000
BUDGET_BYTES_PER_SECOND = 4_000

#: Appends a second that the log service takes; "several hundred".
LOG_APPENDS_PER_SECOND = 300

#: Part of the requests that are calls which may not be repeated. An assumption: no size is given.
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
