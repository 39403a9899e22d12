"""Tests of the lookups of a configuration snapshot."""

import testtools

from camphordrift.configuration import (
    BackendServer,
    BackendServerKind,
    ClientAccount,
    ConfigurationSnapshot,
    Model,
    ModelService,
    PlainService,
    Policy,
    RepeatableCalls,
    snapshot_of,
)
from camphordrift.identifiers import (
    AccountId,
    BackendServerId,
    ModelName,
    ServiceName,
    ZoneName,
)

_ASSISTANT = ServiceName("assistant")
_BOOKING = ServiceName("booking")
_SCHOOL = AccountId("school")


def _engine(number: int) -> BackendServer:
    return BackendServer(
        server_id=BackendServerId(f"engine-{number}"),
        service=_ASSISTANT,
        kind=BackendServerKind.ENGINE,
        address="127.0.0.1",
        port=9000 + number,
        zone=ZoneName("oliwa"),
        memory_tokens=400_000,
    )


def _booking(name: str, prefix: str) -> PlainService:
    return PlainService(
        name=ServiceName(name),
        path_prefix=prefix,
        repeatable_calls=(RepeatableCalls("GET", "/"), RepeatableCalls("PUT", "/drafts")),
        default_timeout_seconds=5.0,
        maximum_timeout_seconds=20.0,
    )


def _snapshot() -> ConfigurationSnapshot:
    return snapshot_of(
        7,
        12,
        (
            ClientAccount(_SCHOOL, ("aa", "bb")),
            ClientAccount(AccountId("disabled"), ("cc",), enabled=False),
            ModelService(_ASSISTANT, 30.0, 120.0),
            _booking("booking", "/booking"),
            _booking("archive", "/booking/archive"),
            Model(ModelName("coach"), "3", _ASSISTANT, 1_000_000),
            Policy("p", _SCHOOL, _ASSISTANT, frozenset({BackendServerId("engine-2")})),
            Policy("q", _SCHOOL, _BOOKING),
            _engine(2),
            _engine(1),
        ),
    )


class ConfigurationSnapshotTest(testtools.TestCase):
    def test_finds_accounts_by_any_of_their_keys(self) -> None:
        for key_hash, expected in (("aa", _SCHOOL), ("bb", _SCHOOL), ("cc", None), ("dd", None)):
            account = _snapshot().account_by_key_hash(key_hash)
            self.assertEqual(expected, account and account.account_id)

    def test_longest_prefix_of_whole_path_segments_matches(self) -> None:
        cases = (
            ("/booking", "booking"),
            ("/booking/7", "booking"),
            ("/booking/archive/7", "archive"),
            ("/bookings", None),
            ("/", None),
        )
        for path, expected in cases:
            service = _snapshot().plain_service_for_path(path)
            self.assertEqual(expected, service and service.name, path)

    def test_only_listed_calls_are_repeatable(self) -> None:
        service = _booking("booking", "/booking")
        cases = (
            ("GET", "/booking/7", True),
            ("get", "/booking", True),
            ("PUT", "/booking/drafts/1", True),
            ("PUT", "/booking/draftsman", False),
            ("POST", "/booking/7", False),
        )
        for method, path, expected in cases:
            self.assertEqual(expected, service.is_repeatable(method, path), f"{method} {path}")

    def test_policy_limits_the_servers_that_an_account_may_use(self) -> None:
        snapshot = _snapshot()
        permitted = snapshot.permitted_servers(_SCHOOL, _ASSISTANT)
        self.assertEqual(["engine-2"], [server.server_id for server in permitted])
        self.assertEqual((), snapshot.permitted_servers(AccountId("disabled"), _ASSISTANT))
        self.assertEqual(["engine-1", "engine-2"], [e.server_id for e in snapshot.engines()])

    def test_model_service_is_found_by_model_name(self) -> None:
        service = _snapshot().model_service_for(ModelName("coach"))
        self.assertEqual(_ASSISTANT, service and service.name)
        self.assertIsNone(_snapshot().model_service_for(ModelName("other")))
