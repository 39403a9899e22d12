"""Tests of the adapter's parsers and encoders."""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.platform import (
    PlatformDocuments,
    PlatformHeaders,
    PlatformOrders,
    PlatformReports,
    decode_settings,
)
from camphordrift.platform._addresses import parse_address
from camphordrift.relay import (
    Account,
    Address,
    EngineReport,
    ForwardingMetadata,
    PrefillHelper,
    Reservation,
    RunRule,
    ServerState,
    ServiceShare,
)
from camphordrift.relay.peers._peer_messages import message_encoder

CONFIGURATION = b"""{"Version":7,"Routes":[
 {"Name":"r-1","Host":"a.example","PathPrefix":"/q/","Kind":"streaming","TimeoutMs":10000,
  "SloMs":300,"Priority":1,"TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],
  "MaxAttempts":2,"NoAuth":false,"Sticky":true,"ResumeStreams":true,"GapTargetMs":250},
 {"Name":"r-2","Host":"a.example","PathPrefix":"/b/","Kind":"non_idempotent","TimeoutMs":2000,
  "SloMs":300,"Service":"s2"},
 {"Name":"r-3","Host":"a.example","PathPrefix":"/l/","Kind":"idempotent","Service":"s2","NoAuth":true}],
 "Services":[{"Name":"s1","HealthPath":"/healthz","MaxConns":264,"Engine":{"Slots":8,
  "KvCacheTokens":315000,"Stride":51,"step_ms":0.85,"per_seq_ms":0.0085,"context_per_k":0.00285,
  "read_per_s":177000.0,"pairs_per_m":0.184,"usual":{"prompt":1,"answer":2}}},
  {"Name":"s2","MaxConns":100}],
 "Limits":{"MaxHeaderBytes":1000,"MaxBodyBytes":2000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1}],"Unknown":{}}"""

SETTINGS = b"""{"NodeName":"edge-1","Ip":"10.1.0.40","Zone":"z1","Listen":{"Front":"10.1.0.40:8227",
 "ReadinessAddr":"10.1.0.40:8220"},"PortRange":[7340,7355],"Platform":{"Address":"10.200.1.7:8223"},
 "Bounds":{"GraceS":8,"RevokeMs":5000,"RetrySlack":102},"Limits":{"MaxFds":4200}}"""


class ConfigurationTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.parsed = PlatformDocuments().configuration(CONFIGURATION)

    def test_version_alone(self) -> None:
        documents = PlatformDocuments()
        self.assertEqual(self.parsed.version, documents.configuration_version(CONFIGURATION))
        self.assertRaises(ValueError, documents.configuration_version, b'{"Routes": []}')

    def test_routes(self) -> None:
        stream, non_idempotent, repeatable = self.parsed.routes
        self.assertEqual((ServiceShare("s1", 90), ServiceShare("s2", 10)), stream.shares)
        self.assertEqual(
            (10.0, 0.3, 0.25),
            (stream.timeout, stream.latency_objective, stream.event_gap_objective),
        )
        self.assertEqual(2.0, stream.caller_patience)
        self.assertEqual(float("inf"), repeatable.caller_patience)
        self.assertTrue(stream.retryable)
        self.assertFalse(non_idempotent.retryable)
        self.assertEqual((ServiceShare("s2", 1.0),), non_idempotent.shares)
        self.assertIs(RunRule.REPEATABLE, repeatable.run_rule)
        self.assertTrue(repeatable.allows_anonymous)

    def test_callers_wait_longer_for_streams_with_long_targets(self) -> None:
        document = CONFIGURATION.replace(b'"GapTargetMs":250', b'"GapTargetMs":800')
        self.assertNotEqual(document, CONFIGURATION)
        self.assertEqual(6.4, PlatformDocuments().configuration(document).routes[0].caller_patience)

    def test_a_stream_that_is_not_resumable_is_not_retryable(self) -> None:
        document = CONFIGURATION.replace(b'"ResumeStreams":true,', b"")
        self.assertFalse(PlatformDocuments().configuration(document).routes[0].retryable)

    def test_engine_costs_follow_the_cost_model_of_the_document(self) -> None:
        costs = self.parsed.services["s1"].engine_costs
        assert costs is not None
        self.assertAlmostEqual(
            154 / 177 + 0.184e-9 * 154_000**2 / 2, costs.prefill_time(154_000), 6
        )
        self.assertAlmostEqual(51 * 0.00085, costs.iteration_time(0, 0))
        self.assertAlmostEqual(51 * (0.00085 + 8.5e-6 + 0.000285), costs.iteration_time(1, 100_000))

    def test_accounts_and_limits(self) -> None:
        self.assertEqual({"k1": Account("t1", 1), "k2": Account("t1", 1)}, self.parsed.accounts)
        self.assertEqual(3.0, self.parsed.limits.header_timeout)

    def test_without_tenants_no_key_is_required(self) -> None:
        start = CONFIGURATION.index(b',\n "Tenants"')
        document = CONFIGURATION[:start] + b"}"
        self.assertIsNone(PlatformDocuments().configuration(document).accounts)

    def test_malformed_configurations_raise_value_error(self) -> None:
        for document in (b"", b"[]", b'{"Version":"x"}', b"\xff\xfe", CONFIGURATION[:-20]):
            self.assertRaises(ValueError, PlatformDocuments().configuration, document)


def odd_entries() -> st.SearchStrategy[bytes]:
    """Returns entries in which fields are replaced or missing, and arbitrary bytes."""
    odd = st.recursive(
        st.one_of(
            st.none(),
            st.booleans(),
            st.integers(),
            st.integers(min_value=2**62),
            st.floats(allow_nan=False, allow_infinity=False),
            st.text(max_size=20),
            st.from_regex(r"[0-9.]{1,12}:-?[0-9]{1,6}", fullmatch=True),
        ),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
        max_leaves=5,
    )
    entry = json.loads(ServerEntryTest.ENTRY)
    replaced = st.dictionaries(st.sampled_from(sorted(entry)), odd, min_size=1, max_size=2)
    changed = replaced.map(lambda fields: json.dumps(entry | fields).encode())
    return st.one_of(changed, st.binary(), changed.map(lambda content: content[:-7]))


class ServerEntryTest(testtools.TestCase):
    ENTRY = (
        b'{"Service":"s1","Address":"10.1.0.9:8080","Zone":"z1","Version":"v1","Slots":8,'
        b'"State":"ready","ColdLeftMs":0,"Seq":4,"born":1771403090306}'
    )

    def test_valid_entry(self) -> None:
        parsed = PlatformDocuments().server("i-1", self.ENTRY)
        self.assertEqual(("10.1.0.9", 8080, 8), (parsed.host, parsed.port, parsed.slots))
        self.assertIs(ServerState.READY, parsed.state)
        self.assertEqual(1771403090306, parsed.started_ms)

    def test_draining_server(self) -> None:
        entry = self.ENTRY.replace(b'"ready"', b'"draining"')
        self.assertIs(ServerState.LEAVING, PlatformDocuments().server("i-1", entry).state)

    def test_malformed_entries_are_rejected(self) -> None:
        for entry in (
            b"{}",
            b"\x00\x01",
            self.ENTRY.replace(b'"ready"', b'"resting"'),
            self.ENTRY.replace(b"10.1.0.9:8080", b"nowhere"),
            self.ENTRY.replace(b'"Slots":8', b'"Slots":"8"'),
        ):
            self.assertRaises(ValueError, PlatformDocuments().server, "i-1", entry)

    def test_addresses_that_no_socket_takes_are_rejected(self) -> None:
        # Guards against servers that are listed although no connection to them can be opened.
        for address in (
            b"10.1.0.9:80800",
            b"10.1.0.9:0",
            b"10.1.0.9:-1",
            b"10.1.0.9:8_080",
            b"10.1.0.9: 8080",
            "10.1.0.9:\N{FULLWIDTH DIGIT EIGHT}080".encode(),
            b"10.1.0.9:" + b"9" * 5000,
            b":8080",
            b"10.1.0.256:8080",
            b"10.1.9:8080",
            b"engine.example:8080",
            b"a..b:8080",
            b"[::1]:8080",
        ):
            entry = self.ENTRY.replace(b"10.1.0.9:8080", address)
            self.assertRaises(ValueError, PlatformDocuments().server, "i-1", entry)

    def test_ids_that_no_header_can_carry_are_rejected(self) -> None:
        # Guards against servers to which no request can be addressed.
        for server_id in ("", "a\nb", "a b", "a\0", "\ufffd", "a" * 256):
            self.assertRaises(ValueError, PlatformDocuments().server, server_id, self.ENTRY)

    def test_nested_documents_are_rejected(self) -> None:
        # Guards against a RecursionError, which ended the processes that read the list.
        for depth in (2_000, 100_000):
            value = b"[" * depth + b"]" * depth
            for field in (b'"Seq":4', b'"ColdLeftMs":0'):
                entry = self.ENTRY.replace(field, field.split(b":")[0] + b":" + value)
                self.assertRaises(ValueError, PlatformDocuments().server, "i-1", entry)
            documents = PlatformDocuments()
            document = b'{"Other":' + value + b"," + CONFIGURATION[1:]
            self.assertRaises(ValueError, documents.configuration, document)
            self.assertRaises(ValueError, documents.configuration_version, document)
            report = b'{"Running":1,"Queued":0,"Tickets":' + value + b"}"
            self.assertRaises(ValueError, PlatformReports().parse, report)

    def test_numbers_that_no_message_can_carry_are_rejected(self) -> None:
        # Guards against an OverflowError when the leader sends the entry to the other VMs.
        for field in (b'"Slots":8', b'"ColdLeftMs":0', b'"born":1771403090306'):
            name = field.split(b":")[0]
            for number in (b"-1", b"1e308", b"1e999", b"1" * 30, b"9" * 5000):
                entry = self.ENTRY.replace(field, name + b":" + number)
                self.assertRaises(ValueError, PlatformDocuments().server, "i-1", entry)

    @settings(derandomize=True, max_examples=300)
    @given(st.deferred(odd_entries))
    def test_any_entry_is_rejected_or_usable(self, entry: bytes) -> None:
        # Guards against entries of another writer that are listed and then end a process.
        try:
            server = PlatformDocuments().server("i-1", entry)
        except ValueError:
            return
        message_encoder.encode(server)
        self.assertEqual(Address(server.host, server.port), parse_address(server.address))


class ColdServersTest(testtools.TestCase):
    def test_a_service_names_period_and_rate(self) -> None:
        document = CONFIGURATION.replace(
            b'"MaxConns":100', b'"MaxConns":100,"ColdStartS":6.5,"ColdPerS":4'
        )
        plain = PlatformDocuments().configuration(document).services["s2"]
        self.assertEqual((6.5, 4.0), (plain.cold_period, plain.cold_request_rate))

    def test_a_rate_of_zero_is_no_bound(self) -> None:
        document = CONFIGURATION.replace(
            b'"MaxConns":100', b'"MaxConns":100,"ColdStartS":6,"ColdPerS":0'
        )
        plain = PlatformDocuments().configuration(document).services["s2"]
        self.assertEqual((6.0, None), (plain.cold_period, plain.cold_request_rate))

    def test_a_service_need_not_mention_cold_servers(self) -> None:
        for service in PlatformDocuments().configuration(CONFIGURATION).services.values():
            self.assertEqual((0.0, None), (service.cold_period, service.cold_request_rate))
            self.assertFalse(service.may_be_cold)

    def test_an_entry_states_the_time_left(self) -> None:
        entry = ServerEntryTest.ENTRY
        for stated, seconds in (
            (b'"ColdLeftMs":2500', 2.5),
            (b'"ColdLeftMs":0', 0.0),
            (b'"Other":1', None),
        ):
            document = entry.replace(b'"ColdLeftMs":0', stated)
            self.assertEqual(seconds, PlatformDocuments().server("i-1", document).cold_left)

    def test_the_time_left_does_not_distinguish_entries(self) -> None:
        entry = ServerEntryTest.ENTRY
        changed = entry.replace(b'"ColdLeftMs":0', b'"ColdLeftMs":9')
        documents = PlatformDocuments()
        self.assertEqual(documents.server("i-1", entry), documents.server("i-1", changed))

    def test_a_response_states_the_time_left(self) -> None:
        for value, seconds in ((b"2500", 2.5), (b"0", 0.0), (b"12.5", 0.0125)):
            metadata = PlatformHeaders().response_metadata([(b"camphordrift-cold-ms", value)])
            self.assertEqual(seconds, metadata.cold_left)

    def test_a_malformed_or_missing_time_is_ignored(self) -> None:
        for value in (b"", b"long", b"-1", b"nan"):
            metadata = PlatformHeaders().response_metadata([(b"camphordrift-cold-ms", value)])
            self.assertIsNone(metadata.cold_left)
        self.assertIsNone(PlatformHeaders().response_metadata([]).cold_left)


class HeadersTest(testtools.TestCase):
    RECEIVED = (
        (b"host", b"a.example"),
        (b"camphordrift-attempt-id", b"9c41"),
        (b"camphordrift-deadline-ms", b"10000"),
        (b"camphordrift-credential", b"secret"),
        (b"camphordrift-token-count", b"1460,80"),
        (b"camphordrift-tenant", b"forged"),
        (b"connection", b"keep-alive, x-hop"),
        (b"x-hop", b"1"),
        (b"x-other", b"2"),
    )

    def test_request_metadata(self) -> None:
        metadata = PlatformHeaders().request_metadata(self.RECEIVED)
        self.assertEqual(
            ("9c41", 10.0, "secret"), (metadata.attempt_id, metadata.caller_timeout, metadata.key)
        )
        self.assertEqual((1460, 80), (metadata.prompt_tokens, metadata.max_output_tokens))

    def test_malformed_numbers_raise_value_error(self) -> None:
        for name, value in ((b"deadline-ms", b"soon"), (b"token-count", b"a,b")):
            headers = [(b"camphordrift-" + name, value)]
            self.assertRaises(ValueError, PlatformHeaders().request_metadata, headers)

    def test_last_part_of_prompt_is_not_shared(self) -> None:
        for value, parts in (
            (b"5c1e07a2:800,91BD3f06:410, e4402b7d:250", ("5c1e07a2", "91bd3f06")),
            (b"5c1e07a2:800", ()),
            (b"", ()),
        ):
            metadata = PlatformHeaders().request_metadata([(b"camphordrift-prompt-prefix", value)])
            self.assertEqual(parts, metadata.prompt_parts)
        self.assertEqual((), PlatformHeaders().request_metadata(self.RECEIVED).prompt_parts)

    def test_malformed_parts_of_prompt_raise_value_error(self) -> None:
        for value in (b"5c1e07a2", b"5c1e07a2:800,", b":800,91bd3f06:1", b"a:x,b:1", b"\xff:1,b:1"):
            headers = [(b"camphordrift-prompt-prefix", value)]
            self.assertRaises(ValueError, PlatformHeaders().request_metadata, headers)

    def test_outgoing_headers(self) -> None:
        metadata = ForwardingMetadata(
            remaining_time=2.5,
            server_id="i-1",
            account="t1",
            last_event_id="12",
            helpers=(PrefillHelper("10.0.0.1", 80, "t81"), PrefillHelper("10.0.0.2", 81)),
        )
        forwarded = PlatformHeaders().outgoing_headers(self.RECEIVED, metadata)
        self.assertEqual(len(forwarded), len(dict(forwarded)))
        self.assertEqual(
            {
                b"host": b"a.example",
                b"camphordrift-attempt-id": b"9c41",
                b"camphordrift-deadline-ms": b"2500",
                b"camphordrift-token-count": b"1460,80",
                b"camphordrift-tenant": b"t1",
                b"camphordrift-expect-instance": b"i-1",
                b"last-event-id": b"12",
                b"camphordrift-helpers": b"10.0.0.1:80/t81,10.0.0.2:81",
                b"x-other": b"2",
            },
            dict(forwarded),
        )

    def test_response_metadata(self) -> None:
        metadata = PlatformHeaders().response_metadata(
            [(b"camphordrift-not-executed", b"1"), (b"keep-alive", b"timeout=5, max=3")]
        )
        self.assertEqual(
            (True, False, 5.0), (metadata.not_run, metadata.signed, metadata.idle_timeout)
        )
        self.assertFalse(metadata.leaving)

    def test_time_for_which_a_server_wants_no_requests(self) -> None:
        for value, seconds in ((b"2", 2.0), (b"0.25", 0.25), (b"0", 0.0)):
            metadata = PlatformHeaders().response_metadata([(b"retry-after", value)])
            self.assertEqual(seconds, metadata.retry_after)

    def test_a_malformed_time_is_ignored(self) -> None:
        for value in (b"", b"soon", b"-1", b"nan", b"1e9", b"Fri, 04 Dec 2026 08:00:00 GMT"):
            metadata = PlatformHeaders().response_metadata([(b"retry-after", value)])
            self.assertIsNone(metadata.retry_after, repr(value))

    def test_a_server_that_leaves(self) -> None:
        for value, leaving in ((b"1", True), (b"0", False), (b"", False)):
            metadata = PlatformHeaders().response_metadata([(b"server-leaving", value)])
            self.assertEqual(leaving, metadata.leaving)


class SettingsTest(testtools.TestCase):
    def test_settings(self) -> None:
        parsed = decode_settings(SETTINGS)
        self.assertEqual(Address("10.1.0.40", 8227), parsed.callers)
        self.assertEqual(Address("10.1.0.40", 7340), parsed.peers)
        self.assertEqual(
            (8.0, 5.0, 102.0),
            (parsed.shutdown_grace_period, parsed.key_revocation_delay, parsed.budget.slack),
        )
        self.assertEqual(2.0, parsed.configuration_apply_delay)

    def test_memory_and_descriptors_of_the_vm(self) -> None:
        limits = {"MemoryMb": 300, "MaxFds": 8200}
        parsed = decode_settings(json.dumps({**json.loads(SETTINGS), "Limits": limits}).encode())
        self.assertEqual((300e6, 8200), (parsed.memory_bytes, parsed.max_descriptors))
        self.assertEqual((75e6, 6000), (parsed.body_budget, parsed.max_callers))

    def test_the_bound_on_evacuations(self) -> None:
        content = SETTINGS.replace(b'"GraceS":8', b'"GraceS":8,"EvacuateMs":5000')
        self.assertEqual(5.0, decode_settings(content).evacuation_delay)

    def test_a_deployment_without_evacuations(self) -> None:
        self.assertIsNone(decode_settings(SETTINGS).evacuation_delay)

    def test_the_error_for_a_missing_field_names_it(self) -> None:
        error = self.assertRaises(
            ValueError, decode_settings, SETTINGS.replace(b'"Zone":"z1",', b"")
        )
        self.assertIn("Zone", str(error))


class OrdersTest(testtools.TestCase):
    def test_reserve_and_release_bodies(self) -> None:
        orders = PlatformOrders()
        self.assertEqual(
            b'{"Id":"t1","Tokens":60000,"HoldMs":3500,"Operation":"reserve"}',
            orders.reserve(Reservation("t1", 60000, 3.5)),
        )
        self.assertEqual(b'{"Id":"t1","Operation":"release"}', orders.release("t1"))


class ReportTest(testtools.TestCase):
    def test_running_and_waiting_requests(self) -> None:
        report = PlatformReports().parse(
            b'{"Phase":"combined","Busy":false,"Seq":0,"Queued":2,"Running":5,"KvUsed":41789,'
            b'"KvTotal":450000,"pace":1.0,"Tickets":[]}'
        )
        self.assertEqual(EngineReport(running=5, waiting=2), report)

    def test_a_malformed_report_is_an_error(self) -> None:
        for content in (b"", b"{}", b'{"Running":"5","Queued":0}', b"[1, 2]"):
            self.assertRaises(ValueError, PlatformReports().parse, content)
