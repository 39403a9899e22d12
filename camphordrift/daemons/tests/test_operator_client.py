"""Tests of the operators' client: the request sent, and the exit code for each response."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Optional

import testtools
import trio

from camphordrift.daemons._exit_codes import CommandError, ExitCode
from camphordrift.daemons._operator_client import VmAccess, request_vm
from camphordrift.testing import (
    UNBUFFERED_BODY,
    ConnectionScript,
    EarlyReset,
    heads_with_invalid_names,
    heads_with_invalid_status,
    respond_with,
)


def http_response(status: int, body: str) -> bytes:
    """Returns the bytes of an HTTP response."""
    return f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n{body}".encode()


def error_body(code: int, run_state: str) -> str:
    """Returns the JSON body of an error response."""
    return (
        f'{{"error": {{"code": {code}, "type": "t", "message": "m", "run_state": "{run_state}"}}}}'
    )


class RequestVmTest(testtools.TestCase):
    def request(self, method: str, response: Optional[bytes]) -> tuple[bytes, bytes]:
        """Returns the request that the VM received and the body that the client returned."""
        received = bytearray()

        async def serve(stream: trio.SocketStream) -> None:
            received.extend(await stream.receive_some(65536))
            if response is not None:
                await stream.send_all(response)
            await stream.aclose()

        content = request_from_server(serve, method)
        return bytes(received), content

    def check_error(self, exit_code: ExitCode, method: str, response: Optional[bytes]) -> str:
        error = self.assertRaises(CommandError, self.request, method, response)
        self.assertIs(exit_code, error.exit_code)
        return str(error)

    def test_successful_response(self) -> None:
        received, content = self.request("GET", http_response(200, "{}"))
        self.assertEqual(b"{}", content)
        self.assertTrue(received.startswith(b"GET /drain?a=b HTTP/1.1\r\n"), repr(received))
        self.assertIn(b"Authorization: Bearer key\r\n", received)

    def test_exit_code_for_each_run_state(self) -> None:
        for run_state, exit_code in (
            ("not_run", ExitCode.REFUSED),
            ("failed", ExitCode.FAILED),
            ("outcome_unknown", ExitCode.OUTCOME_UNKNOWN),
        ):
            line = self.check_error(
                exit_code, "POST", http_response(409, error_body(5001, run_state))
            )
            self.assertEqual("code 5001 t: m", line)

    def test_responses_without_a_result_code(self) -> None:
        for body in ("", "<html>", "[]", '{"error": 1}', error_body(1, "strange")):
            self.check_error(ExitCode.FAILED, "POST", http_response(500, body))

    def test_outcome_is_unknown_without_a_response_to_a_change(self) -> None:
        self.check_error(ExitCode.UNREACHABLE, "GET", None)
        line = self.check_error(ExitCode.OUTCOME_UNKNOWN, "POST", None)
        self.assertIn("may have taken effect", line)

    def test_outcome_is_unknown_if_the_response_has_no_valid_status(self) -> None:
        for body in ("{}", error_body(5001, "not_run")):
            for response in heads_with_invalid_status(http_response(409, body)):
                self.check_unknown(respond_with(response))

    def test_outcome_is_unknown_if_the_response_has_an_invalid_name(self) -> None:
        head = b"HTTP/1.1 200 X\r\nx-other: 1\r\ncontent-length: 2\r\n\r\n"
        for malformed in heads_with_invalid_names(head):
            self.check_unknown(respond_with(malformed + b"{}"))

    def test_outcome_is_unknown_if_the_response_was_reset(self) -> None:
        """The VM resets the connection while the change is being written."""
        response = b"HTTP/1.1 200 OK\r\n\r\n{"
        self.check_unknown(EarlyReset(response), {"text": UNBUFFERED_BODY.decode()})

    def check_unknown(
        self,
        serve: ConnectionScript,
        body: Mapping[str, Any] = MappingProxyType({}),
    ) -> None:
        """Checks that it is unknown whether a change has taken effect."""
        error = self.assertRaises(CommandError, request_from_server, serve, "POST", body)
        self.assertIs(ExitCode.OUTCOME_UNKNOWN, error.exit_code)


def request_from_server(
    serve: ConnectionScript,
    method: str,
    body: Mapping[str, Any] = MappingProxyType({}),
) -> bytes:
    """Sends one request to a loopback server that runs ``serve`` for each connection."""

    async def main() -> bytes:
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                access = VmAccess(f"127.0.0.1:{port}", "key")
                content = await request_vm(access, method, "/drain", {"a": "b"}, dict(body))
                nursery.cancel_scope.cancel()
                return content
        raise AssertionError("unreachable")

    try:
        return trio.run(main)
    except BaseExceptionGroup as group:
        raise group.exceptions[0] from group
