"""Tests of the operators' application, which is called through ASGI without a port."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Optional

import testtools
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Failed
from returns.result import Result, Success

from camphordrift.identifiers import RequestId, VmId
from camphordrift.operations import OperatorServices, Refusal, operators_app
from camphordrift.results import Failure, ResultCode
from camphordrift.security import KeyKind, generate_key, hash_key
from camphordrift.telemetry import Decision, DecisionRecord, Metrics, StateDump
from camphordrift.testing import run_in_virtual_time

KEY = generate_key(KeyKind.OPERATOR)


@dataclass
class RecordingConfiguration:
    """Records the calls of its methods, and returns a constant result."""

    recorded_calls: list[tuple[object, ...]] = field(default_factory=list)
    failure: Optional[Failure] = None

    def _record_call(self, *call: object) -> Result[object, Refusal]:
        self.recorded_calls.append(call)
        if self.failure is None:
            return Success({"version": 7})
        return Failed(Refusal(self.failure, {"conflicts": ["model x"]}))

    def show(self, kind_name: Optional[str]) -> Result[object, Refusal]:
        return self._record_call("show", kind_name)

    def history(self, limit: int) -> Result[object, Refusal]:
        return self._record_call("history", limit)

    def diff(self, raw: Mapping[str, Any]) -> Result[object, Refusal]:
        return self._record_call("diff", dict(raw))

    async def publish(self, raw: Mapping[str, Any], dry_run: bool) -> Result[object, Refusal]:
        return self._record_call("publish", dict(raw), dry_run)


@dataclass
class RecordingDrain:
    """Records the reasons that are passed to ``start``, and starts no shutdown."""

    reasons: list[str] = field(default_factory=list)

    def start(self, reason: str) -> None:
        self.reasons.append(reason)

    def progress(self) -> object:
        return {"draining": bool(self.reasons)}


class AppResponse:
    """The status, headers and body that the ASGI application has sent."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""

    @property
    def json(self) -> Any:
        return json.loads(self.body)


class OperatorsAppCase(testtools.TestCase):
    """Sends requests to an application whose providers record their calls."""

    def setUp(self) -> None:
        super().setUp()
        self.not_ready: Optional[Failure] = None
        self.configuration = RecordingConfiguration()
        self.drain = RecordingDrain()
        self.metrics = Metrics("oliwa-1")
        self.addCleanup(self.metrics.close)
        self.decisions = DecisionRecord()
        dump = StateDump()
        dump.register("members", lambda: ["oliwa-1"])
        self.app = operators_app(
            OperatorServices(
                vm_id=VmId("oliwa-1"),
                key_hashes=(hash_key("another"), hash_key(KEY)),
                readiness=lambda: self.not_ready,
                metrics=self.metrics,
                dump=dump,
                decisions=self.decisions,
                configuration=self.configuration,
                drain=self.drain,
            )
        )

    def call(
        self,
        method: str,
        target: str,
        body: Optional[bytes] = b"",
        authorization: Optional[str] = f"Bearer {KEY}",
    ) -> AppResponse:
        """Sends one request; if ``body`` is ``None``, the application never receives a body."""
        path, _, query = target.partition("?")
        headers = [] if authorization is None else [(b"authorization", authorization.encode())]
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": headers,
            "http_version": "1.1",
            "scheme": "http",
            "server": ("127.0.0.1", 1),
        }
        response = AppResponse()

        async def receive() -> dict[str, Any]:
            if body is None:
                await trio.sleep_forever()
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: Any) -> None:
            if message["type"] == "http.response.start":
                response.status = message["status"]
                response.headers = {k.decode(): v.decode() for k, v in message["headers"]}
            else:
                response.body += message["body"]

        async def main() -> None:
            await self.app(scope, receive, send)

        run_in_virtual_time(main)
        return response

    def assert_failure(self, code: ResultCode, response: AppResponse) -> None:
        self.assertEqual(int(code), response.json["error"]["code"], str(response.body))


class HealthTest(OperatorsAppCase):
    def test_probes_need_no_key(self) -> None:
        self.assertEqual(200, self.call("GET", "/health", authorization=None).status)
        self.assertEqual(200, self.call("GET", "/ready", authorization=None).status)

    def test_not_ready(self) -> None:
        self.not_ready = Failure(ResultCode.VM_DRAINING, "stopping", retry_after_seconds=0.5)
        response = self.call("GET", "/ready", authorization=None)
        self.assertEqual(503, response.status)
        self.assertEqual("1", response.headers["retry-after"])
        self.assert_failure(ResultCode.VM_DRAINING, response)
        self.assertEqual(200, self.call("GET", "/health", authorization=None).status)


class OperatorKeyTest(OperatorsAppCase):
    def test_all_other_paths_need_an_operator_key(self) -> None:
        targets = [("GET", f"/{name}") for name in ("metrics", "dump", "decisions")]
        targets += [("GET", f"/configuration{tail}") for tail in ("", "/history")]
        targets += [("POST", f"/configuration{tail}") for tail in ("", "/diff")]
        targets += [("POST", "/drain"), ("GET", "/drain")]
        for method, target in targets:
            for header in (None, "", "Bearer wrong", f"Basic {KEY}", f"Bearer {hash_key(KEY)}"):
                response = self.call(method, target, b"{}", header)
                self.assertEqual(401, response.status, target)
                self.assert_failure(ResultCode.UNAUTHENTICATED, response)
        self.assertEqual([], self.drain.reasons)
        self.assertEqual([], self.configuration.recorded_calls)


class ReadingTest(OperatorsAppCase):
    def test_metrics_and_dump(self) -> None:
        self.metrics.refusals.add(interface="booking")
        self.assertIn(b"camphordrift_refusals_total", self.call("GET", "/metrics").body)
        self.assertEqual({"members": ["oliwa-1"]}, self.call("GET", "/dump").json)

    def test_decisions_about_one_request(self) -> None:
        for name in ("r-1", "r-2"):
            self.decisions.add(Decision(1.0, "routing", "granted", "least cost", RequestId(name)))
        found = self.call("GET", "/decisions?request_id=r-2").json["decisions"]
        self.assertEqual(["r-2"], [item["request_id"] for item in found])
        self.assertEqual(2, len(self.call("GET", "/decisions").json["decisions"]))

    def test_unknown_path_and_method(self) -> None:
        self.assert_failure(ResultCode.UNKNOWN_PATH, self.call("GET", "/nothing"))
        self.assert_failure(ResultCode.METHOD_NOT_ALLOWED, self.call("DELETE", "/configuration"))


class ConfigurationTest(OperatorsAppCase):
    def test_calls_reach_the_provider(self) -> None:
        cases: list[tuple[str, str, bytes, tuple[object, ...]]] = [
            ("GET", "/configuration", b"", ("show", None)),
            ("GET", "/configuration?kind=model", b"", ("show", "model")),
            ("GET", "/configuration/history", b"", ("history", 20)),
            ("GET", "/configuration/history?limit=5", b"", ("history", 5)),
            ("POST", "/configuration/diff", b'{"a": 1}', ("diff", {"a": 1})),
            ("POST", "/configuration", b'{"a": 1}', ("publish", {"a": 1}, False)),
            ("POST", "/configuration?dry_run=true", b"{}", ("publish", {}, True)),
        ]
        for method, target, body, expected in cases:
            response = self.call(method, target, body)
            self.assertEqual((200, {"version": 7}), (response.status, response.json))
            self.assertEqual(expected, self.configuration.recorded_calls.pop())

    def test_failures_of_the_provider_are_returned(self) -> None:
        self.configuration.failure = Failure(ResultCode.RECORD_VERSION_CONFLICT, "7 is in force")
        response = self.call("POST", "/configuration", b"{}")
        self.assertEqual(409, response.status)
        self.assert_failure(ResultCode.RECORD_VERSION_CONFLICT, response)
        self.assertEqual(["model x"], response.json["error"]["conflicts"])

    def test_invalid_input_does_not_reach_the_provider(self) -> None:
        cases = [
            ("GET", "/configuration?kidn=model", b""),
            ("GET", "/configuration?kind=model&kind=policy", b""),
            ("GET", "/configuration/history?limit=-1", b""),
            ("GET", "/configuration/history?limit=0", b""),
            ("GET", "/configuration/history?limit=1001", b""),
            ("GET", "/configuration/history?limit=" + "9" * 400, b""),
            ("POST", "/configuration/diff?dry_run=true", b"{}"),
            ("POST", "/configuration/diff", b"[]"),
            ("POST", "/configuration?dry_run=yes", b"{}"),
            ("POST", "/configuration", b""),
            ("POST", "/configuration", b"[]"),
            ("POST", "/configuration", b'{"a": NaN}'),
            ("POST", "/configuration", b'{"a": 1, "a": 2}'),
            ("POST", "/configuration", b"\xff\xfe"),
            ("POST", "/configuration", b'{"a":' * 100_000),
        ]
        for method, target, body in cases:
            response = self.call(method, target, body)
            self.assertEqual(400, response.status, target)
            self.assert_failure(ResultCode.MALFORMED_REQUEST, response)
        self.assertEqual([], self.configuration.recorded_calls)

    def test_body_too_large(self) -> None:
        response = self.call("POST", "/configuration", b" " * 4_000_001)
        self.assert_failure(ResultCode.BODY_TOO_LARGE, response)

    def test_body_that_is_never_received(self) -> None:
        self.assert_failure(ResultCode.BODY_TIMEOUT, self.call("POST", "/configuration", None))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(body=st.binary(max_size=60))
    def test_any_body_gets_a_response(self, body: bytes) -> None:
        self.assertIn(self.call("POST", "/configuration", body).status, (200, 400))


class DrainTest(OperatorsAppCase):
    def test_start_and_progress(self) -> None:
        self.assertEqual({"draining": False}, self.call("GET", "/drain").json)
        response = self.call("POST", "/drain", b'{"reason": "new version"}')
        self.assertEqual((202, {"draining": True}), (response.status, response.json))
        self.assertEqual(["new version"], self.drain.reasons)

    def test_invalid_reasons(self) -> None:
        for body in (b"", b'{"reason": 3}', b'{"why": "x"}', b'{"reason": "' + b"x" * 201 + b'"}'):
            self.assert_failure(ResultCode.MALFORMED_REQUEST, self.call("POST", "/drain", body))
        self.assertEqual([], self.drain.reasons)
