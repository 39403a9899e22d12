"""What the gateway needs of the rest of the process."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional, Protocol

from returns import result

from camphordrift.backend_http import HttpConnections
from camphordrift.backend_servers import EngineClient
from camphordrift.calls import CallCoordinator
from camphordrift.configuration import ConfigurationSnapshot
from camphordrift.gateway._active_requests import ActiveRequests
from camphordrift.gateway._attempt_policy import AttemptPolicy
from camphordrift.gateway._bodies import BodyMemory
from camphordrift.gateway._request_recorder import RequestRecorder
from camphordrift.gateway._server_selector import ServerSelector
from camphordrift.gateway._service_calls import ServiceCaller
from camphordrift.identifiers import AccountId, VmId
from camphordrift.results import Failure
from camphordrift.routing import GrantSource


@dataclass(frozen=True)
class GatewayLimits:
    """Bounds on what callers may send and how long they may take."""

    #: The largest body, in bytes.
    max_body_bytes: int = 16_000_000

    #: Time for a body to arrive, in seconds.
    body_timeout_seconds: float = 20.0

    #: Time for a caller to take what is written to it, in seconds.
    write_timeout_seconds: float = 20.0

    #: A stream that has had nothing to send for this long gets a keep-alive, in seconds.
    keep_alive_seconds: float = 10.0


class AdmissionGate(Protocol):
    """The limits of client accounts."""

    async def admit(
        self, account_id: AccountId, tokens: int, is_long: bool
    ) -> result.Result[Callable[[], None], Failure]:
        """Returns what to call when the request has ended, or why it is refused."""
        ...


@dataclass(frozen=True)
class GatewayContext:
    """The parts of the process that serve requests."""

    #: This VM.
    vm_id: VmId

    #: Returns why the VM takes no new requests; ``None`` while it does.
    refusal: Callable[[], Optional[Failure]]

    #: Tells whether the VM is stopping, so that callers' connections are not to be used again.
    is_stopping: Callable[[], bool]

    #: Returns the configuration in force; ``None`` before any is known.
    snapshot: Callable[[], Optional[ConfigurationSnapshot]]

    #: Decides which engine runs a request, and when.
    grants: GrantSource

    #: Calls engines.
    engines: EngineClient

    #: Calls plain services where calls may be repeated.
    services: ServiceCaller

    #: Chooses among the servers of a plain service.
    server_selector: ServerSelector

    #: Runs calls that may not be repeated.
    calls: CallCoordinator

    #: Sends HTTP requests.
    connections: HttpConnections

    #: Decides what follows a failed attempt on an engine.
    attempt_policy: AttemptPolicy

    #: Limits of client accounts.
    gate: AdmissionGate

    #: Admitted requests.
    active: ActiveRequests

    #: Memory for bodies.
    body_memory: BodyMemory

    #: Bounds on callers.
    limits: GatewayLimits

    #: Logs, metrics and the record of decisions.
    recorder: RequestRecorder
