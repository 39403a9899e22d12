"""The components and limits that the gateway's endpoints use."""

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
    """Limits on the size and duration of callers' requests."""

    #: Maximum size of a request body in bytes.
    max_body_bytes: int = 16_000_000

    #: Seconds within which a caller must send the complete body.
    body_timeout_seconds: float = 20.0

    #: Timeout in seconds of each write of a streamed response to a caller.
    write_timeout_seconds: float = 20.0

    #: Seconds without output after which a keep-alive comment is written to a stream.
    keep_alive_seconds: float = 10.0


class AdmissionGate(Protocol):
    """Enforces the limits of client accounts."""

    async def admit(
        self, account_id: AccountId, tokens: int, is_long: bool
    ) -> result.Result[Callable[[], None], Failure]:
        """Admits a request that uses up to ``tokens`` tokens.

        Returns a function to call when the request has ended, or the reason to refuse it.
        """
        ...


@dataclass(frozen=True)
class GatewayContext:
    """The components that the gateway's endpoints use to serve requests."""

    #: Id of this VM.
    vm_id: VmId

    #: Returns why the VM accepts no new requests; ``None`` while it accepts them.
    refusal: Callable[[], Optional[Failure]]

    #: Returns whether the VM is draining; callers must not reuse their connections then.
    is_draining: Callable[[], bool]

    #: Returns the configuration in force; ``None`` before the first one is received.
    snapshot: Callable[[], Optional[ConfigurationSnapshot]]

    #: Grants each request permission to run on one engine, and decides when.
    grants: GrantSource

    #: Client that sends requests to engines.
    engines: EngineClient

    #: Sends retryable calls to plain services.
    services: ServiceCaller

    #: Selects the server for each call to a plain service.
    server_selector: ServerSelector

    #: Coordinates calls that must run at most once.
    calls: CallCoordinator

    #: HTTP connections to plain services.
    connections: HttpConnections

    #: Decides whether a failed attempt on an engine is retried.
    attempt_policy: AttemptPolicy

    #: Enforces the limits of client accounts.
    gate: AdmissionGate

    #: Requests of authenticated callers that have not ended.
    active: ActiveRequests

    #: Memory budget for request bodies.
    body_memory: BodyMemory

    #: Limits on the size and duration of callers' requests.
    limits: GatewayLimits

    #: Records requests in logs, metrics and the decision record.
    recorder: RequestRecorder
