"""The result codes, and the HTTP status, run state and summary of each."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum
from types import MappingProxyType


class RunState(Enum):
    """Whether a refused or failed request may have run on a backend server."""

    #: No byte of the request can have reached a backend server.
    NOT_RUN = "not_run"

    #: The request reached a backend server and is known not to have completed.
    FAILED = "failed"

    #: It is unknown whether the request ran.
    OUTCOME_UNKNOWN = "outcome_unknown"


class ResultCode(IntEnum):
    """Result codes, grouped by thousands. The meaning of a number never changes."""

    OK = 0

    # 1000: invalid requests.
    MALFORMED_REQUEST = 1000
    BODY_TOO_LARGE = 1001
    BAD_HEADER = 1002
    UNKNOWN_PATH = 1003
    METHOD_NOT_ALLOWED = 1004
    BODY_TIMEOUT = 1005
    UNKNOWN_MODEL = 1006
    UNKNOWN_SERVICE = 1007
    CLIENT_DISCONNECTED = 1008

    # 1100: authentication and authorization.
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
    REQUEST_QUARANTINED = 2013
    ACCOUNT_BACKLOG = 2014

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
    VM_STOPPED = 3009

    # 4000: non-repeatable calls and their idempotency keys.
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

    # 6000: membership and connections between VMs.
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

    # 9000: internal errors.
    INTERNAL_ERROR = 9000


@dataclass(frozen=True)
class CodeMeaning:
    """The meaning of a result code; one row of the table in the reference documents."""

    #: The result code.
    code: ResultCode

    #: The HTTP status of responses with this code.
    http_status: int

    #: The default run state; a :class:`Failure` can override it.
    run_state: RunState

    #: One sentence that explains the code to callers and operators.
    summary: str


def _meaning(code: ResultCode, http_status: int, run_state: RunState, summary: str) -> CodeMeaning:
    return CodeMeaning(code, http_status, run_state, summary)


_NOT_RUN = RunState.NOT_RUN
_FAILED = RunState.FAILED
_OUTCOME_UNKNOWN = RunState.OUTCOME_UNKNOWN
_C = ResultCode

_MEANINGS: tuple[CodeMeaning, ...] = (
    _meaning(_C.OK, 200, _FAILED, "The request succeeded; failures never have this code."),
    _meaning(_C.MALFORMED_REQUEST, 400, _NOT_RUN, "The body or one of its fields is invalid."),
    _meaning(_C.BODY_TOO_LARGE, 413, _NOT_RUN, "The body is larger than the limit."),
    _meaning(_C.BAD_HEADER, 400, _NOT_RUN, "A header has an invalid value."),
    _meaning(_C.UNKNOWN_PATH, 404, _NOT_RUN, "No interface has this path."),
    _meaning(_C.METHOD_NOT_ALLOWED, 405, _NOT_RUN, "The path does not support this method."),
    _meaning(_C.BODY_TIMEOUT, 408, _NOT_RUN, "The body was not received within the timeout."),
    _meaning(_C.UNKNOWN_MODEL, 404, _NOT_RUN, "The configuration has no such model."),
    _meaning(_C.UNKNOWN_SERVICE, 404, _NOT_RUN, "The configuration has no such service."),
    _meaning(
        _C.CLIENT_DISCONNECTED, 499, _FAILED, "The caller disconnected; the request was cancelled."
    ),
    _meaning(
        _C.UNAUTHENTICATED, 401, _NOT_RUN, "The key is missing or belongs to no client account."
    ),
    _meaning(
        _C.NOT_PERMITTED, 403, _NOT_RUN, "The client account may not use this model or service."
    ),
    _meaning(
        _C.DEADLINE_UNREACHABLE, 503, _NOT_RUN, "The request is estimated to miss its deadline."
    ),
    _meaning(_C.QUEUE_FULL, 503, _NOT_RUN, "Too many requests are waiting."),
    _meaning(_C.REQUEST_RATE_LIMIT, 429, _NOT_RUN, "The account's request rate limit is reached."),
    _meaning(_C.TOKEN_RATE_LIMIT, 429, _NOT_RUN, "The account's token rate limit is reached."),
    _meaning(_C.CONCURRENCY_LIMIT, 429, _NOT_RUN, "The account has too many requests running."),
    _meaning(
        _C.LONG_PROMPT_LIMIT, 429, _NOT_RUN, "The account's limit for long prompts is reached."
    ),
    _meaning(
        _C.PROMPT_NEVER_FITS,
        413,
        _NOT_RUN,
        "The prompt exceeds the limits of all permitted engines.",
    ),
    _meaning(_C.NO_ENGINE_AVAILABLE, 503, _NOT_RUN, "No permitted backend server is available."),
    _meaning(_C.BODY_MEMORY_LIMIT, 503, _NOT_RUN, "The VM has no memory left for request bodies."),
    _meaning(_C.VM_DRAINING, 503, _NOT_RUN, "The VM is draining and refuses new requests."),
    _meaning(_C.VM_NOT_READY, 503, _NOT_RUN, "The VM has no configuration yet."),
    _meaning(
        _C.DEADLINE_PASSED_IN_QUEUE,
        504,
        _NOT_RUN,
        "The deadline passed before the request was sent.",
    ),
    _meaning(
        _C.MEMORY_NOT_AVAILABLE, 503, _NOT_RUN, "No hold on engine memory could be placed in time."
    ),
    _meaning(
        _C.REQUEST_QUARANTINED,
        503,
        _NOT_RUN,
        "Servers crash on the request or on a part of its prompt; it is refused for a while.",
    ),
    _meaning(
        _C.ACCOUNT_BACKLOG,
        503,
        _NOT_RUN,
        "Other requests, most of them of the same account, take up the engines until the deadline.",
    ),
    _meaning(_C.BACKEND_UNREACHABLE, 502, _NOT_RUN, "No connection to a backend server succeeded."),
    _meaning(_C.BACKEND_REFUSED, 502, _FAILED, "The backend server responded with an error."),
    _meaning(
        _C.BACKEND_STREAM_BROKEN,
        502,
        _FAILED,
        "The response was truncated and could not be resumed.",
    ),
    _meaning(
        _C.BACKEND_SILENT, 504, _FAILED, "The backend server sent no data within the timeout."
    ),
    _meaning(
        _C.BACKEND_DEADLINE_PASSED, 504, _FAILED, "The deadline passed while the request ran."
    ),
    _meaning(_C.BACKEND_ANSWER_MISMATCH, 502, _FAILED, "The response belonged to another request."),
    _meaning(_C.RETRY_BUDGET_SPENT, 503, _FAILED, "The retry budget of the service is exhausted."),
    _meaning(
        _C.CIRCUIT_OPEN,
        503,
        _NOT_RUN,
        "The backend servers failed too often; their circuit breakers are open.",
    ),
    _meaning(
        _C.SERVICE_OUTCOME_UNKNOWN,
        504,
        _OUTCOME_UNKNOWN,
        "It is unknown whether the service ran the call.",
    ),
    _meaning(
        _C.VM_STOPPED, 503, _FAILED, "The VM stopped before the request was complete; retry it."
    ),
    _meaning(_C.KEY_MALFORMED, 400, _NOT_RUN, "The idempotency key is not a version 7 UUID."),
    _meaning(
        _C.KEY_TOO_OLD, 409, _NOT_RUN, "The idempotency key is older than the retention of claims."
    ),
    _meaning(_C.KEY_FROM_FUTURE, 400, _NOT_RUN, "The idempotency key's time is in the future."),
    _meaning(
        _C.KEY_REUSED_WITH_OTHER_BODY, 422, _NOT_RUN, "The key was used with a different request."
    ),
    _meaning(
        _C.CALL_STILL_RUNNING,
        409,
        _OUTCOME_UNKNOWN,
        "The first call with this key is still running.",
    ),
    _meaning(
        _C.CALL_OUTCOME_UNKNOWN,
        409,
        _OUTCOME_UNKNOWN,
        "It is unknown whether the first call with this key ran.",
    ),
    _meaning(
        _C.CLAIM_NOT_MADE,
        503,
        _NOT_RUN,
        "The claim could not be appended to the log; nothing was sent.",
    ),
    _meaning(_C.CLAIM_EXPIRED, 504, _NOT_RUN, "The claim was appended too late; nothing was sent."),
    _meaning(
        _C.KEY_REQUIRED, 400, _NOT_RUN, "The call is not repeatable and needs an idempotency key."
    ),
    _meaning(_C.RECORD_MALFORMED, 400, _NOT_RUN, "The configuration record is invalid."),
    _meaning(
        _C.RECORD_VERSION_CONFLICT,
        409,
        _NOT_RUN,
        "The record replaces a version that is not current.",
    ),
    _meaning(
        _C.RECORD_SCHEMA_TOO_NEW, 409, _NOT_RUN, "A live VM does not support this schema version."
    ),
    _meaning(_C.RECORD_INCONSISTENT, 409, _NOT_RUN, "The record refers to an unknown entry."),
    _meaning(
        _C.RECORD_UNSAFE_ORDERS,
        409,
        _NOT_RUN,
        "The record allows orders that are unsafe without fencing.",
    ),
    _meaning(_C.CONFIGURATION_UNKNOWN, 503, _NOT_RUN, "This VM has no configuration yet."),
    _meaning(
        _C.PUBLISH_UNSURE,
        504,
        _OUTCOME_UNKNOWN,
        "It is unknown whether the record was appended to the log.",
    ),
    _meaning(_C.RECORD_IN_USE, 409, _NOT_RUN, "Another entry still refers to the removed entry."),
    _meaning(_C.PEER_UNREACHABLE, 503, _NOT_RUN, "Another VM did not respond."),
    _meaning(_C.PEER_FRAME_REFUSED, 400, _NOT_RUN, "A frame from another process is malformed."),
    _meaning(_C.PEER_UNAUTHENTICATED, 401, _NOT_RUN, "A process failed to authenticate as a peer."),
    _meaning(
        _C.PEER_VERSION_UNSUPPORTED, 400, _NOT_RUN, "A peer uses an unsupported protocol version."
    ),
    _meaning(
        _C.NOT_HOME_VM,
        421,
        _NOT_RUN,
        "The VM is not the home VM that coordinates this engine pool.",
    ),
    _meaning(_C.LEASE_HELD_BY_OTHER, 409, _NOT_RUN, "Another VM holds the lease."),
    _meaning(_C.LEASE_LAPSED, 409, _NOT_RUN, "The lease expired before the order was sent."),
    _meaning(_C.ORDER_FENCED, 409, _NOT_RUN, "The engine rejected an outdated fencing number."),
    _meaning(
        _C.ORDER_UNSAFE_WITHOUT_FENCING, 409, _NOT_RUN, "The engine does not check fencing numbers."
    ),
    _meaning(
        _C.ORDER_OUTCOME_UNKNOWN,
        504,
        _OUTCOME_UNKNOWN,
        "It is unknown whether the engine accepted the order.",
    ),
    _meaning(_C.HOLD_REFUSED, 409, _NOT_RUN, "The engine has too little free memory for the hold."),
    _meaning(_C.HOLD_UNKNOWN, 404, _NOT_RUN, "The engine has no such hold."),
    _meaning(_C.WEIGHT_STORE_BUSY, 503, _NOT_RUN, "The rate limit of the weight store is reached."),
    _meaning(_C.LOG_UNAVAILABLE, 503, _NOT_RUN, "The log service does not respond."),
    _meaning(
        _C.LOG_APPEND_UNSURE,
        504,
        _OUTCOME_UNKNOWN,
        "It is unknown whether an append reached the log.",
    ),
    _meaning(_C.LOG_OFFSET_TRUNCATED, 410, _NOT_RUN, "The log no longer retains this offset."),
    _meaning(
        _C.LOG_APPEND_BUDGET_SPENT,
        503,
        _NOT_RUN,
        "This VM's limit of appends per second is reached.",
    ),
    _meaning(_C.INTERNAL_ERROR, 500, _OUTCOME_UNKNOWN, "Internal error; see the log for details."),
)

_MEANING_BY_CODE: Mapping[ResultCode, CodeMeaning] = MappingProxyType(
    {row.code: row for row in _MEANINGS}
)


def meaning_of(code: ResultCode) -> CodeMeaning:
    """Returns the HTTP status, run state and summary of ``code``."""
    return _MEANING_BY_CODE[code]


def code_table() -> tuple[CodeMeaning, ...]:
    """Returns the meanings of all codes in numerical order, for the reference documents."""
    return tuple(sorted(_MEANINGS, key=lambda row: row.code))
