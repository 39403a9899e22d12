"""The result codes, their HTTP status and what each says about the run."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum
from types import MappingProxyType


class RunState(Enum):
    """What a refusal or failure says about the request."""

    #: No byte of the request can have reached a backend server.
    NOT_RUN = "not_run"

    #: The request reached a backend server, and it is known that it did not complete.
    FAILED = "failed"

    #: The request may or may not have run.
    OUTCOME_UNKNOWN = "outcome_unknown"


class ResultCode(IntEnum):
    """Numbers of results, grouped by the thousand. A number is never given a new meaning."""

    OK = 0

    # 1000: the request itself.
    MALFORMED_REQUEST = 1000
    BODY_TOO_LARGE = 1001
    BAD_HEADER = 1002
    UNKNOWN_PATH = 1003
    METHOD_NOT_ALLOWED = 1004
    BODY_TIMEOUT = 1005
    UNKNOWN_MODEL = 1006
    UNKNOWN_SERVICE = 1007
    CLIENT_DISCONNECTED = 1008

    # 1100: who asks.
    UNAUTHENTICATED = 1100
    NOT_PERMITTED = 1101

    # 2000: admission and limits.
    DEADLINE_UNREACHABLE = 2000
    QUEUE_FULL = 2001
    REQUEST_RATE_LIMIT = 2002
    TOKEN_RATE_LIMIT = 2003
    CONCURRENCY_LIMIT = 2004
    LONG_PROMPT_LIMIT = 2005
    PROMPT_NEVER_FITS = 2006
    NO_ENGINE_AVAILABLE = 2007
    BODY_MEMORY_LIMIT = 2008
    VM_DRAINING = 2009
    VM_NOT_READY = 2010
    DEADLINE_PASSED_IN_QUEUE = 2011
    MEMORY_NOT_AVAILABLE = 2012

    # 3000: backend servers.
    BACKEND_UNREACHABLE = 3000
    BACKEND_REFUSED = 3001
    BACKEND_STREAM_BROKEN = 3002
    BACKEND_SILENT = 3003
    BACKEND_DEADLINE_PASSED = 3004
    BACKEND_ANSWER_MISMATCH = 3005
    RETRY_BUDGET_SPENT = 3006
    CIRCUIT_OPEN = 3007
    SERVICE_OUTCOME_UNKNOWN = 3008

    # 4000: calls that may not be repeated.
    KEY_MALFORMED = 4000
    KEY_TOO_OLD = 4001
    KEY_FROM_FUTURE = 4002
    KEY_REUSED_WITH_OTHER_BODY = 4003
    CALL_STILL_RUNNING = 4004
    CALL_OUTCOME_UNKNOWN = 4005
    CLAIM_NOT_MADE = 4006
    CLAIM_EXPIRED = 4007
    KEY_REQUIRED = 4008

    # 5000: configuration.
    RECORD_MALFORMED = 5000
    RECORD_VERSION_CONFLICT = 5001
    RECORD_SCHEMA_TOO_NEW = 5002
    RECORD_INCONSISTENT = 5003
    RECORD_UNSAFE_ORDERS = 5004
    CONFIGURATION_UNKNOWN = 5005
    PUBLISH_UNSURE = 5006
    RECORD_IN_USE = 5007

    # 6000: membership and streams between VMs.
    PEER_UNREACHABLE = 6000
    PEER_FRAME_REFUSED = 6001
    PEER_UNAUTHENTICATED = 6002
    PEER_VERSION_UNSUPPORTED = 6003
    NOT_HOME_VM = 6004

    # 7000: leases, orders and engine memory.
    LEASE_HELD_BY_OTHER = 7000
    LEASE_LAPSED = 7001
    ORDER_FENCED = 7002
    ORDER_UNSAFE_WITHOUT_FENCING = 7003
    ORDER_OUTCOME_UNKNOWN = 7004
    HOLD_REFUSED = 7005
    HOLD_UNKNOWN = 7006
    WEIGHT_STORE_BUSY = 7007

    # 8000: the platform's log service.
    LOG_UNAVAILABLE = 8000
    LOG_APPEND_UNSURE = 8001
    LOG_OFFSET_TRUNCATED = 8002
    LOG_APPEND_BUDGET_SPENT = 8003

    # 9000: faults of the program.
    INTERNAL_ERROR = 9000


@dataclass(frozen=True)
class CodeMeaning:
    """What a result code means; one row of the table in the documents."""

    #: The number.
    code: ResultCode

    #: The HTTP status a caller sees with it.
    http_status: int

    #: What it says about the run, unless the failure says otherwise.
    run_state: RunState

    #: One sentence for callers and operators.
    summary: str


def _row(code: ResultCode, http_status: int, run_state: RunState, summary: str) -> CodeMeaning:
    return CodeMeaning(code, http_status, run_state, summary)


_NOT_RUN = RunState.NOT_RUN
_FAILED = RunState.FAILED
_UNKNOWN = RunState.OUTCOME_UNKNOWN
_C = ResultCode

_ROWS: tuple[CodeMeaning, ...] = (
    _row(_C.OK, 200, _FAILED, "The request succeeded; never part of a failure."),
    _row(_C.MALFORMED_REQUEST, 400, _NOT_RUN, "The body or a field of it cannot be read."),
    _row(_C.BODY_TOO_LARGE, 413, _NOT_RUN, "The body is over the limit."),
    _row(_C.BAD_HEADER, 400, _NOT_RUN, "A header has a value that cannot be read."),
    _row(_C.UNKNOWN_PATH, 404, _NOT_RUN, "No interface has this path."),
    _row(_C.METHOD_NOT_ALLOWED, 405, _NOT_RUN, "The path does not take this method."),
    _row(_C.BODY_TIMEOUT, 408, _NOT_RUN, "The body did not arrive in time."),
    _row(_C.UNKNOWN_MODEL, 404, _NOT_RUN, "The configuration names no such model."),
    _row(_C.UNKNOWN_SERVICE, 404, _NOT_RUN, "The configuration names no such service."),
    _row(_C.CLIENT_DISCONNECTED, 499, _FAILED, "The caller went away and the work was cancelled."),
    _row(_C.UNAUTHENTICATED, 401, _NOT_RUN, "The key is missing or belongs to no client account."),
    _row(_C.NOT_PERMITTED, 403, _NOT_RUN, "The client account may not use this model or service."),
    _row(_C.DEADLINE_UNREACHABLE, 503, _NOT_RUN, "The estimate says it cannot finish in time."),
    _row(_C.QUEUE_FULL, 503, _NOT_RUN, "Too many requests are waiting."),
    _row(_C.REQUEST_RATE_LIMIT, 429, _NOT_RUN, "The account's requests per second are used up."),
    _row(_C.TOKEN_RATE_LIMIT, 429, _NOT_RUN, "The account's tokens per second are used up."),
    _row(_C.CONCURRENCY_LIMIT, 429, _NOT_RUN, "The account has too many requests running."),
    _row(_C.LONG_PROMPT_LIMIT, 429, _NOT_RUN, "The account's share of long prompts is used up."),
    _row(_C.PROMPT_NEVER_FITS, 413, _NOT_RUN, "The prompt is larger than all permitted engines."),
    _row(_C.NO_ENGINE_AVAILABLE, 503, _NOT_RUN, "No permitted backend server takes new work."),
    _row(_C.BODY_MEMORY_LIMIT, 503, _NOT_RUN, "The VM holds too many bytes of bodies."),
    _row(_C.VM_DRAINING, 503, _NOT_RUN, "The VM is stopping and takes no new requests."),
    _row(_C.VM_NOT_READY, 503, _NOT_RUN, "The VM has no configuration yet."),
    _row(
        _C.DEADLINE_PASSED_IN_QUEUE, 504, _NOT_RUN, "The time ran out before the request was sent."
    ),
    _row(_C.MEMORY_NOT_AVAILABLE, 503, _NOT_RUN, "The engines' memory could not be held in time."),
    _row(_C.BACKEND_UNREACHABLE, 502, _NOT_RUN, "No connection to a backend server could be made."),
    _row(_C.BACKEND_REFUSED, 502, _FAILED, "The backend server answered with an error."),
    _row(
        _C.BACKEND_STREAM_BROKEN, 502, _FAILED, "The answer broke off and could not be continued."
    ),
    _row(_C.BACKEND_SILENT, 504, _FAILED, "The backend server sent nothing for too long."),
    _row(_C.BACKEND_DEADLINE_PASSED, 504, _FAILED, "The time ran out while the request ran."),
    _row(_C.BACKEND_ANSWER_MISMATCH, 502, _FAILED, "The answer belonged to another request."),
    _row(_C.RETRY_BUDGET_SPENT, 503, _FAILED, "The retries allowed for the service are used up."),
    _row(
        _C.CIRCUIT_OPEN, 503, _NOT_RUN, "The backend servers failed too often and are left alone."
    ),
    _row(
        _C.SERVICE_OUTCOME_UNKNOWN, 504, _UNKNOWN, "The service may or may not have run the call."
    ),
    _row(_C.KEY_MALFORMED, 400, _NOT_RUN, "The idempotency key is not a UUID of version 7."),
    _row(_C.KEY_TOO_OLD, 409, _NOT_RUN, "The idempotency key is older than claims are kept."),
    _row(_C.KEY_FROM_FUTURE, 400, _NOT_RUN, "The idempotency key's time lies in the future."),
    _row(_C.KEY_REUSED_WITH_OTHER_BODY, 422, _NOT_RUN, "The key was used with another request."),
    _row(_C.CALL_STILL_RUNNING, 409, _UNKNOWN, "The first call under this key is still running."),
    _row(_C.CALL_OUTCOME_UNKNOWN, 409, _UNKNOWN, "The first call under this key may have run."),
    _row(_C.CLAIM_NOT_MADE, 503, _NOT_RUN, "The log could not take the claim; nothing was sent."),
    _row(_C.CLAIM_EXPIRED, 504, _NOT_RUN, "The claim came too late to be used; nothing was sent."),
    _row(_C.KEY_REQUIRED, 400, _NOT_RUN, "The call may not be repeated and needs a key."),
    _row(_C.RECORD_MALFORMED, 400, _NOT_RUN, "The configuration record does not validate."),
    _row(_C.RECORD_VERSION_CONFLICT, 409, _NOT_RUN, "The record replaces a version not in force."),
    _row(_C.RECORD_SCHEMA_TOO_NEW, 409, _NOT_RUN, "A live VM cannot read this schema version."),
    _row(_C.RECORD_INCONSISTENT, 409, _NOT_RUN, "The record refers to something unknown."),
    _row(_C.RECORD_UNSAFE_ORDERS, 409, _NOT_RUN, "It allows orders that are unsafe unfenced."),
    _row(_C.CONFIGURATION_UNKNOWN, 503, _NOT_RUN, "This VM does not know the configuration yet."),
    _row(_C.PUBLISH_UNSURE, 504, _UNKNOWN, "The log did not say whether it took the record."),
    _row(_C.RECORD_IN_USE, 409, _NOT_RUN, "Another record still refers to the one removed."),
    _row(_C.PEER_UNREACHABLE, 503, _NOT_RUN, "Another VM did not answer."),
    _row(_C.PEER_FRAME_REFUSED, 400, _NOT_RUN, "A frame from another process is malformed."),
    _row(_C.PEER_UNAUTHENTICATED, 401, _NOT_RUN, "A process could not prove that it is a peer."),
    _row(_C.PEER_VERSION_UNSUPPORTED, 400, _NOT_RUN, "A peer speaks an unsupported version."),
    _row(_C.NOT_HOME_VM, 421, _NOT_RUN, "The VM asked is not home to this pool of engines."),
    _row(_C.LEASE_HELD_BY_OTHER, 409, _NOT_RUN, "Another VM holds the lease."),
    _row(_C.LEASE_LAPSED, 409, _NOT_RUN, "The lease ran out before the order was sent."),
    _row(_C.ORDER_FENCED, 409, _NOT_RUN, "The engine refused an old fencing number."),
    _row(_C.ORDER_UNSAFE_WITHOUT_FENCING, 409, _NOT_RUN, "The engine does not check fencing."),
    _row(_C.ORDER_OUTCOME_UNKNOWN, 504, _UNKNOWN, "The engine did not say if it took the order."),
    _row(_C.HOLD_REFUSED, 409, _NOT_RUN, "The engine has no memory left for the hold."),
    _row(_C.HOLD_UNKNOWN, 404, _NOT_RUN, "The engine knows no such hold."),
    _row(_C.WEIGHT_STORE_BUSY, 503, _NOT_RUN, "The weight store's rate limit is used up."),
    _row(_C.LOG_UNAVAILABLE, 503, _NOT_RUN, "The log service does not answer."),
    _row(_C.LOG_APPEND_UNSURE, 504, _UNKNOWN, "The answer to an append was lost."),
    _row(_C.LOG_OFFSET_TRUNCATED, 410, _NOT_RUN, "The log no longer keeps this offset."),
    _row(_C.LOG_APPEND_BUDGET_SPENT, 503, _NOT_RUN, "This VM's appends a second are used up."),
    _row(_C.INTERNAL_ERROR, 500, _UNKNOWN, "A fault of the program; the log has the details."),
)

_TABLE: Mapping[ResultCode, CodeMeaning] = MappingProxyType({row.code: row for row in _ROWS})


def meaning_of(code: ResultCode) -> CodeMeaning:
    """Returns the table's row for ``code``."""
    return _TABLE[code]


def code_table() -> tuple[CodeMeaning, ...]:
    """Returns all rows in the order of their numbers, for the documents."""
    return tuple(sorted(_ROWS, key=lambda row: row.code))
