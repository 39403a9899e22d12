"""What the configuration says, as values that the rest of the program works with.

The values are built by :mod:`camphordrift.configuration` from validated records; other packages
only read them.
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
    """What a backend server runs."""

    ENGINE = "engine"
    PLAIN = "plain"


class OrderGiver(Enum):
    """Who gives orders to an engine."""

    #: The entry VMs, whichever holds the engine's lease.
    FLEET = "fleet"

    #: Operators and their tools, outside the system.
    OPERATOR = "operator"


#: Orders that undo newer work when they arrive late, so that repeating the newest one does not help
#: whoever has already been harmed.
ORDERS_UNSAFE_WHEN_LATE = frozenset({OrderKind.UNLOAD_MODEL, OrderKind.CHANGE_ROLE})


@dataclass(frozen=True)
class ClientAccount:
    """An organisation's or a team's account, under which callers send requests."""

    #: The account's name.
    account_id: AccountId

    #: SHA-256 of each key that callers may use, in lower-case hexadecimal digits.
    key_hashes: tuple[str, ...]

    #: False once the account is shut off; its keys are then refused.
    enabled: bool = True


@dataclass(frozen=True)
class ModelService:
    """A service whose backend servers are engines."""

    #: The service's name.
    name: ServiceName

    #: Time given to a request whose caller states none, in seconds.
    default_timeout_seconds: float

    #: The longest time that a caller may ask for, in seconds.
    maximum_timeout_seconds: float


@dataclass(frozen=True)
class RepeatableCalls:
    """Calls of a plain service that may run more than once without harm."""

    #: The HTTP method, in upper case.
    method: str

    #: The leading part of the path, below the service's own prefix; ``/`` means every path.
    path_prefix: str


@dataclass(frozen=True)
class PlainService:
    """A service of plain HTTP calls."""

    #: The service's name.
    name: ServiceName

    #: Requests whose path begins with this are for the service, for example ``/booking``.
    path_prefix: str

    #: The calls that may be repeated; all others run at most once.
    repeatable_calls: tuple[RepeatableCalls, ...]

    #: Time given to a request whose caller states none, in seconds.
    default_timeout_seconds: float

    #: The longest time that a caller may ask for, in seconds.
    maximum_timeout_seconds: float

    def is_repeatable(self, method: str, path: str) -> bool:
        """Returns whether the call may run more than once; ``path`` includes the prefix."""
        below = path.removeprefix(self.path_prefix) or "/"
        return any(
            call.method == method.upper() and is_path_below(below, call.path_prefix)
            for call in self.repeatable_calls
        )


#: Either kind of service.
Service = Union[ModelService, PlainService]


@dataclass(frozen=True)
class Model:
    """A model that engines serve."""

    #: The name that callers use.
    name: ModelName

    #: The version that engines shall have loaded.
    version: str

    #: The service whose engines serve it.
    service: ServiceName

    #: The longest prompt and answer together, in tokens.
    maximum_context_tokens: int

    #: Adapters that engines shall have loaded with it, as ``name@version``.
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class Policy:
    """Permission for one client account to use one service."""

    #: The policy's name.
    policy_id: str

    #: The account.
    account_id: AccountId

    #: The service.
    service: ServiceName

    #: The backend servers that it may reach; empty means all servers of the service.
    servers: frozenset[BackendServerId] = frozenset()

    #: The longest prompt, in tokens; ``None`` sets no limit.
    maximum_prompt_tokens: Optional[int] = None


@dataclass(frozen=True)
class AccountLimits:
    """What one client account may use over all VMs together."""

    #: The account.
    account_id: AccountId

    #: Requests per second.
    requests_per_second: float

    #: Prompt and answer tokens per second.
    tokens_per_second: float

    #: Requests that run at once.
    concurrency: int

    #: The part of the engines' memory that its long prompts may take, from 0 to 1.
    long_prompt_share: float = 1.0

    #: Its weight against other accounts when all want more than there is.
    weight: float = 1.0


@dataclass(frozen=True)
class BackendServer:
    """A backend server: an engine, or a server of a plain service."""

    #: The server's name.
    server_id: BackendServerId

    #: The service that it belongs to.
    service: ServiceName

    #: What it runs.
    kind: BackendServerKind

    #: Its IP number.
    address: str

    #: Its TCP port.
    port: int

    #: The availability zone that it stands in.
    zone: ZoneName

    #: An engine's KV memory in tokens; 0 for a server of a plain service.
    memory_tokens: int = 0

    #: Whether the engine refuses orders with an old fencing number.
    checks_fencing: bool = False

    #: Who gives it orders; empty if nobody does.
    order_givers: frozenset[OrderGiver] = frozenset()

    #: The orders that it may be given.
    allowed_orders: frozenset[OrderKind] = frozenset()


@dataclass(frozen=True)
class FleetTuning:
    """Numbers that hold for the whole fleet."""

    #: From 0 (only time to first token counts) to 1 (only the slowdown of short requests counts).
    slowdown_weight: float = 0.3

    #: Prompts over this many tokens are long.
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
    """Returns whether ``path`` is ``prefix`` or lies below it, by whole path segments."""
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")
