"""The configuration's values, in the form that the rest of the program uses.

:mod:`camphordrift.configuration` builds them from validated records; other packages only read
them.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Optional, Union

from camphordrift.backend_servers import OrderKind
from camphordrift.identifiers import (
    AccountId,
    BackendServerId,
    ModelName,
    ServiceName,
    ZoneName,
)


class BackendServerKind(Enum):
    """Whether a backend server runs an engine or a plain service."""

    #: An engine, which generates output of models.
    ENGINE = "engine"

    #: A server of a plain service, which handles HTTP calls.
    PLAIN = "plain"


class OrderGiver(Enum):
    """Who may send orders to an engine."""

    #: The entry VM that holds the engine's lease.
    FLEET = "fleet"

    #: Operators and their tools, outside this system.
    OPERATOR = "operator"


#: Orders that undo the effect of newer ones when they arrive late. Sending the newest order again
#: does not repair this, since requests have failed in the meantime.
ORDERS_UNSAFE_WHEN_LATE = frozenset({OrderKind.UNLOAD_MODEL, OrderKind.CHANGE_ROLE})


@dataclass(frozen=True)
class ClientAccount:
    """The account of an organisation or team, under which callers send requests."""

    #: The account's name.
    account_id: AccountId

    #: SHA-256 hash of each key that callers may use, in lower-case hexadecimal digits.
    key_hashes: tuple[str, ...]

    #: Whether the account's keys are accepted; ``False`` disables the account.
    enabled: bool = True


@dataclass(frozen=True)
class ModelService:
    """A service whose backend servers are engines."""

    #: The service's name.
    name: ServiceName

    #: Timeout in seconds of a request whose caller states none.
    default_timeout_seconds: float

    #: Maximum timeout in seconds that a caller may state.
    maximum_timeout_seconds: float


@dataclass(frozen=True)
class RepeatableCalls:
    """Idempotent calls of a plain service, which may be sent again after a failure."""

    #: The HTTP method, in upper case.
    method: str

    #: Path prefix, relative to the service's own prefix; ``/`` matches every path.
    path_prefix: str


@dataclass(frozen=True)
class PlainService:
    """A service of plain HTTP calls."""

    #: The service's name.
    name: ServiceName

    #: Path prefix of the requests that are routed to the service, for example ``/booking``.
    path_prefix: str

    #: The idempotent calls, which may be retried; all other calls run at most once.
    repeatable_calls: tuple[RepeatableCalls, ...]

    #: Timeout in seconds of a request whose caller states none.
    default_timeout_seconds: float

    #: Maximum timeout in seconds that a caller may state.
    maximum_timeout_seconds: float

    def is_repeatable(self, method: str, path: str) -> bool:
        """Returns whether the call may be retried; ``path`` includes the service's prefix."""
        relative_path = path.removeprefix(self.path_prefix) or "/"
        return any(
            call.method == method.upper() and is_path_below(relative_path, call.path_prefix)
            for call in self.repeatable_calls
        )


#: A service of either kind: of engines or of plain HTTP calls.
Service = Union[ModelService, PlainService]


@dataclass(frozen=True)
class Model:
    """A model that engines serve."""

    #: The name that callers use.
    name: ModelName

    #: The version that engines have to load.
    version: str

    #: The service whose engines serve it.
    service: ServiceName

    #: Maximum number of tokens in prompt and output together.
    maximum_context_tokens: int

    #: Adapters that engines have to load with it, as ``name@version``.
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class Policy:
    """Permission for one client account to use one service."""

    #: The policy's name.
    policy_id: str

    #: The client account that may use the service.
    account_id: AccountId

    #: The service that the account may use.
    service: ServiceName

    #: The backend servers that the account may use; empty means all servers of the service.
    servers: frozenset[BackendServerId] = frozenset()

    #: Maximum number of tokens in a prompt; ``None`` sets no limit.
    maximum_prompt_tokens: Optional[int] = None


@dataclass(frozen=True)
class AccountLimits:
    """The limits of one client account, over all VMs together."""

    #: The client account that is limited.
    account_id: AccountId

    #: Maximum rate of requests, per second.
    requests_per_second: float

    #: Maximum rate of prompt and output tokens together, per second.
    tokens_per_second: float

    #: Maximum number of requests in flight.
    concurrency: int

    #: Maximum fraction of the engines' memory that the account's long prompts use, from 0 to 1.
    long_prompt_share: float = 1.0

    #: The account's weight relative to other accounts when demand exceeds capacity.
    weight: float = 1.0


@dataclass(frozen=True)
class BackendServer:
    """A backend server: an engine, or a server of a plain service."""

    #: The server's name.
    server_id: BackendServerId

    #: The service that it belongs to.
    service: ServiceName

    #: Whether it is an engine or a server of a plain service.
    kind: BackendServerKind

    #: Its IP address.
    address: str

    #: Its TCP port.
    port: int

    #: Its availability zone.
    zone: ZoneName

    #: Number of tokens that an engine's KV memory holds; 0 for a server of a plain service.
    memory_tokens: int = 0

    #: Whether the engine rejects orders with an outdated fencing number. The number identifies the
    #: lease term of the sender; a later term has a higher number.
    checks_fencing: bool = False

    #: Who may send it orders; empty if nobody may.
    order_givers: frozenset[OrderGiver] = frozenset()

    #: The kinds of orders that it may be sent.
    allowed_orders: frozenset[OrderKind] = frozenset()


@dataclass(frozen=True)
class FleetTuning:
    """Scheduling parameters for the whole fleet."""

    #: Weight of the slowdown of short requests against time to first token, from 0 (only time to
    #: first token counts) to 1 (only slowdown counts).
    slowdown_weight: float = 0.3

    #: Prompts with more tokens than this are treated as long.
    long_prompt_tokens: int = 100_000


#: Any value that a record can publish.
ConfigurationValue = Union[
    ClientAccount,
    ModelService,
    PlainService,
    Model,
    Policy,
    AccountLimits,
    BackendServer,
    FleetTuning,
]


def is_path_below(path: str, prefix: str) -> bool:
    """Returns whether ``path`` is ``prefix`` or below it, comparing whole path segments."""
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")
