"""Calls to the operators' port of a VM, for the command line."""

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

from camphordrift.daemons._exit_codes import CommandError, ExitCode, exit_code_of
from camphordrift.results import RunState
from camphordrift.security import client_tls_context
from camphordrift.settings import parse_socket_address

#: Where the operator's key is read from unless a file is named.
KEY_VARIABLE = "CAMPHORDRIFT_OPERATOR_KEY"

#: Where the address of a VM's operators' port is read from unless it is given.
VM_VARIABLE = "CAMPHORDRIFT_VM"

#: Time for a connection to be made, in seconds.
CONNECT_TIMEOUT_SECONDS = 5.0

#: Time for an answer, in seconds. A publication waits for the log service.
ANSWER_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class VmAccess:
    """Which VM to talk to, and how."""

    #: Address of its operators' port, such as ``127.0.10.1:8081``.
    address: str

    #: The operator's key.
    key: str = field(repr=False)

    #: Certificates that the VM's one is checked against; ``None`` speaks plain HTTP.
    authorities: Optional[Path] = None


def vm_access(vm: Optional[str], key_file: Optional[Path], authorities: Optional[Path]) -> VmAccess:
    """Collects the access from options and environment variables."""
    address = vm or os.environ.get(VM_VARIABLE)
    if not address:
        detail = f"no VM is named; give --vm IP:PORT or set {VM_VARIABLE}"
        raise CommandError(ExitCode.BAD_INPUT, detail)
    try:
        parsed = parse_socket_address(address)
    except ValueError as error:
        detail = f"VM {address!r}: {error}; expected IP:PORT of its operators' port"
        raise CommandError(ExitCode.BAD_INPUT, detail) from error
    return VmAccess(str(parsed), _read_key(key_file), authorities)


def call_vm(
    access: VmAccess,
    method: str,
    path: str,
    parameters: Optional[Mapping[str, str]] = None,
    body: Optional[Mapping[str, Any]] = None,
) -> bytes:
    """Returns the body of a good answer, for commands that have no loop of their own."""
    return trio.run(request_vm, access, method, path, parameters, body)


async def request_vm(
    access: VmAccess,
    method: str,
    path: str,
    parameters: Optional[Mapping[str, str]] = None,
    body: Optional[Mapping[str, Any]] = None,
) -> bytes:
    """Returns the body of a good answer.

    Raises :class:`CommandError` with the VM's own words, its result code and the exit code that
    tells whether anything may have changed.
    """
    response = await _send(access, method, _target(path, parameters), body)
    if response.status >= 300:
        raise _refusal(access, response)
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
    timeouts = {"connect": CONNECT_TIMEOUT_SECONDS, "read": ANSWER_TIMEOUT_SECONDS}
    scheme = "http" if access.authorities is None else "https"
    try:
        async with httpcore.AsyncConnectionPool(ssl_context=_tls(access.authorities)) as pool:
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
        raise _lost_answer(access, method, error) from error


def _lost_answer(access: VmAccess, method: str, error: Exception) -> CommandError:
    reason = str(error) or type(error).__name__
    if method == "GET":
        detail = f"VM {access.address} did not answer: {reason}"
        return CommandError(ExitCode.UNREACHABLE, detail)
    detail = f"VM {access.address} did not answer ({reason}); the change may have taken effect"
    return CommandError(ExitCode.OUTCOME_UNKNOWN, detail)


def _refusal(access: VmAccess, response: httpcore.Response) -> CommandError:
    try:
        error = json.loads(response.content)["error"]
        run_state = RunState(error["run_state"])
        detail = f"code {error['code']} {error['type']}: {error['message']}"
    except (ValueError, KeyError, TypeError):
        detail = f"VM {access.address} answered HTTP {response.status} without a result code"
        return CommandError(ExitCode.FAILED, detail)
    return CommandError(exit_code_of(run_state), detail)


def _tls(authorities: Optional[Path]) -> Any:
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
        detail = f"no operator's key in {source}; give --key-file or set {KEY_VARIABLE}"
        raise CommandError(ExitCode.BAD_INPUT, detail)
    if not key.isascii() or not key.isprintable() or " " in key:
        raise CommandError(ExitCode.BAD_INPUT, f"{source} has something other than one key")
    return key


def _read_key_file(key_file: Path) -> str:
    try:
        return key_file.read_text(encoding="utf-8")
    except OSError as error:
        detail = f"{key_file}: cannot be read: {error.strerror}"
        raise CommandError(ExitCode.BAD_INPUT, detail) from error
    except UnicodeDecodeError as error:
        raise CommandError(ExitCode.BAD_INPUT, f"{key_file}: is not text in UTF-8") from error
