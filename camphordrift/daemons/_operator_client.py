"""HTTP client for the operators' port of a VM."""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Optional
from urllib.parse import urlencode

import httpcore
import trio
from returns.result import Failure, Success

from camphordrift.backend_http import CheckedBackend
from camphordrift.daemons._exit_codes import CommandError, ExitCode, exit_code_for
from camphordrift.results import RunState
from camphordrift.security import client_tls_context
from camphordrift.settings import parse_socket_address

#: Environment variable with the operator's key, used if no key file is given.
KEY_VARIABLE = "CAMPHORDRIFT_OPERATOR_KEY"

#: Environment variable with the address of a VM's operators' port, used without ``--vm``.
VM_VARIABLE = "CAMPHORDRIFT_VM"

#: Timeout for connecting, in seconds.
CONNECT_TIMEOUT_SECONDS = 5.0

#: Timeout for a response, in seconds. Publishing waits for the log service.
RESPONSE_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class VmAccess:
    """Address and credentials for the operators' port of one VM."""

    #: Address of the operators' port, such as ``127.0.10.1:8081``.
    address: str

    #: The operator's key.
    key: str = field(repr=False)

    #: Trusted authorities for the VM's certificate; ``None`` uses plain HTTP.
    authorities: Optional[Path] = None


def vm_access(vm: Optional[str], key_file: Optional[Path], authorities: Optional[Path]) -> VmAccess:
    """Returns the VM's address and the operator's key, from options or environment variables.

    Raises ``CommandError`` if the address or the key is missing or invalid.
    """
    address = vm or os.environ.get(VM_VARIABLE)
    if not address:
        detail = f"no VM given; use --vm IP:PORT or set {VM_VARIABLE}"
        raise CommandError(ExitCode.BAD_INPUT, detail)
    try:
        parsed = parse_socket_address(address)
    except ValueError as error:
        detail = f"VM {address!r}: {error}; expected IP:PORT of the operators' port"
        raise CommandError(ExitCode.BAD_INPUT, detail) from error
    return VmAccess(str(parsed), _read_key(key_file), authorities)


def call_vm(
    access: VmAccess,
    method: str,
    path: str,
    parameters: Optional[Mapping[str, str]] = None,
    body: Optional[Mapping[str, Any]] = None,
) -> bytes:
    """Runs ``request_vm`` in an event loop of its own and returns the response body."""
    return trio.run(request_vm, access, method, path, parameters, body)


async def request_vm(
    access: VmAccess,
    method: str,
    path: str,
    parameters: Optional[Mapping[str, str]] = None,
    body: Optional[Mapping[str, Any]] = None,
) -> bytes:
    """Sends one request and returns the body of a successful response.

    Raises :class:`CommandError` with the VM's message, its result code and an exit code that says
    whether anything may have changed.
    """
    response = await _send(access, method, _target(path, parameters), body)
    if response.status >= 300:
        raise _response_error(access, response)
    return response.content


def _target(path: str, parameters: Optional[Mapping[str, str]]) -> str:
    return f"{path}?{urlencode(parameters)}" if parameters else path


async def _send(
    access: VmAccess, method: str, target: str, body: Optional[Mapping[str, Any]]
) -> httpcore.Response:
    content = b"" if body is None else json.dumps(body).encode("utf-8")
    headers: dict[bytes | str, bytes | str] = {
        "Authorization": f"Bearer {access.key}",
        "Content-Type": "application/json",
        "Host": access.address,
    }
    timeouts = {"connect": CONNECT_TIMEOUT_SECONDS, "read": RESPONSE_TIMEOUT_SECONDS}
    scheme = "http" if access.authorities is None else "https"
    try:
        async with httpcore.AsyncConnectionPool(
            ssl_context=_tls_context(access.authorities), network_backend=CheckedBackend()
        ) as pool:
            return await pool.request(
                method,
                f"{scheme}://{access.address}{target}",
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            )
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        detail = f"VM {access.address} cannot be reached: {error}"
        raise CommandError(ExitCode.UNREACHABLE, detail) from error
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        raise _no_response_error(access, method, error) from error


def _no_response_error(access: VmAccess, method: str, error: Exception) -> CommandError:
    reason = str(error) or type(error).__name__
    if method == "GET":
        detail = f"VM {access.address} did not respond: {reason}"
        return CommandError(ExitCode.UNREACHABLE, detail)
    detail = f"VM {access.address} did not respond ({reason}); the change may have taken effect"
    return CommandError(ExitCode.OUTCOME_UNKNOWN, detail)


def _response_error(access: VmAccess, response: httpcore.Response) -> CommandError:
    try:
        error = json.loads(response.content)["error"]
        run_state = RunState(error["run_state"])
        detail = f"code {error['code']} {error['type']}: {error['message']}"
    except (ValueError, KeyError, TypeError):
        detail = f"VM {access.address} responded with HTTP {response.status} and no result code"
        return CommandError(ExitCode.FAILED, detail)
    return CommandError(exit_code_for(run_state), detail)


def _tls_context(authorities: Optional[Path]) -> Any:
    if authorities is None:
        return None
    match client_tls_context(authorities):
        case Success(context):
            return context
        case Failure(problem):
            raise CommandError(ExitCode.BAD_INPUT, str(problem))


def _read_key(key_file: Optional[Path]) -> str:
    if key_file is None:
        key = os.environ.get(KEY_VARIABLE, "")
        source = f"the environment variable {KEY_VARIABLE}"
    else:
        key, source = _read_key_file(key_file), str(key_file)
    key = key.strip()
    if not key:
        detail = f"no operator's key in {source}; use --key-file or set {KEY_VARIABLE}"
        raise CommandError(ExitCode.BAD_INPUT, detail)
    if not key.isascii() or not key.isprintable() or " " in key:
        raise CommandError(ExitCode.BAD_INPUT, f"{source} does not contain exactly one key")
    return key


def _read_key_file(key_file: Path) -> str:
    try:
        return key_file.read_text(encoding="utf-8")
    except OSError as error:
        detail = f"{key_file}: cannot be read: {error.strerror}"
        raise CommandError(ExitCode.BAD_INPUT, detail) from error
    except UnicodeDecodeError as error:
        raise CommandError(ExitCode.BAD_INPUT, f"{key_file}: is not text in UTF-8") from error
