"""Tests of odd records on the store beside sound ones, in virtual time."""

import json
from typing import Any
from unittest import mock

import pytest
import testtools
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from camphordrift.platform import PlatformDocuments, PlatformReports
from camphordrift.platform.tests import test_formats
from camphordrift.platform.tests.test_formats import CONFIGURATION, odd_entries
from camphordrift.relay import BackendServer, Configuration
from camphordrift.relay.peers._peer_messages import Member, encode_member
from camphordrift.relay.tests.log_lines import LogLines
from camphordrift.relay.tests.samples import TOPICS, InMemoryLog, SampleDocuments
from camphordrift.relay.tests.test_leader_election import make_vm
from camphordrift.relay.tests.watched_vms import WatchedFleet, run_fleet
from camphordrift.testing import run_in_virtual_time

#: Seconds in which a VM and its follower read all records.
READING_TIME = 4.0

#: The entry of a server that is in use.
ENTRY = test_formats.ServerEntryTest.ENTRY

SOUND_MEMBER = Member("vm-7", 70, "127.0.0.1", 7)

ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
).map(lambda value: json.dumps(value).encode())

NESTED = b'{"Service":' + b"[" * 100_000


def configuration(version: int) -> bytes:
    """Returns a sound configuration."""
    return CONFIGURATION.replace(b'"Version":7', b'"Version":%d' % version)


def cut(document: bytes) -> st.SearchStrategy[bytes]:
    """Returns a document that ends early, or begins late."""
    return st.integers(1, len(document) - 1).flatmap(
        lambda position: st.sampled_from([document[:position], document[position:]])
    )


async def start_pair(fleet: WatchedFleet) -> Any:
    """Starts a VM that reads the platform's documents, and a follower of it."""
    documents: Any = PlatformDocuments()
    leader, follower = fleet.start(1, None, documents), fleet.start(2, None, documents)
    await trio.sleep(1.0)
    fleet.follow(follower, leader)
    await trio.sleep(READING_TIME)
    return leader, follower


class AnyRecordTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.dictionaries(
            st.text(max_size=8).map(lambda text: f"odd-{text}"),
            st.one_of(odd_entries(), ANY_JSON, cut(ENTRY)),
            min_size=1,
            max_size=4,
        )
    )
    @example({"odd-1": NESTED, "odd-2": b""})
    def test_any_entries_of_servers(self, odd: dict[str, bytes]) -> None:
        # Guards against an entry that keeps those beside it from being listed, or ends the process.
        async def body(fleet: WatchedFleet) -> None:
            fleet.log.put(TOPICS.configuration, TOPICS.configuration_key, CONFIGURATION)
            fleet.log.put(TOPICS.servers, "sound-1", ENTRY)
            for key, value in odd.items():
                fleet.log.put(TOPICS.servers, key, value)
            fleet.log.put(TOPICS.servers, "sound-2", ENTRY)
            with LogLines() as lines:
                vms = await start_pair(fleet)
            for vm in vms:
                self.assertTrue({"sound-1", "sound-2"} <= vm.states.keys())
            # Each VM reads the entries once at its start; the follower once more.
            self.assertTrue(lines.events.count("server_entry_unreadable") <= 3 * len(odd))

        run_fleet(body)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.one_of(st.binary(), ANY_JSON, cut(CONFIGURATION)), min_size=1, max_size=4))
    @example([b'{"Version":8,"Routes":' + b"[" * 100_000, b'{"Version":' + b"9" * 5000 + b"}"])
    def test_any_configurations(self, odd: list[bytes]) -> None:
        # Guards against a configuration that replaces the one in force, or keeps the next one away.
        async def body(fleet: WatchedFleet) -> None:
            def put(value: bytes) -> None:
                fleet.log.put(TOPICS.configuration, TOPICS.configuration_key, value)

            put(configuration(7))
            with LogLines() as lines:
                vms = await start_pair(fleet)
                for value in odd:
                    put(value)
                await trio.sleep(READING_TIME)
                self.assertEqual([7, 7], [vm.configuration.version for vm in vms])
                put(configuration(8))
                await trio.sleep(READING_TIME)
            self.assertEqual([8, 8], [vm.configuration.version for vm in vms])
            self.assertTrue(lines.events.count("configuration_unreadable") <= 4 * len(odd))

        run_fleet(body)

    @pytest.mark.sockets
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.dictionaries(
            st.one_of(st.text(max_size=8), st.text(max_size=8).map(lambda x: f"quarantine/{x}")),
            st.one_of(
                st.binary(max_size=30),
                st.integers().map(lambda number: b"%d" % number),
                cut(encode_member(SOUND_MEMBER)),
            ),
            max_size=5,
        )
    )
    @example({"a": b"\x91" * 100_000, "quarantine/": b"9" * 5000, "quarantine/b": b"9" * 15})
    def test_any_saved_records(self, odd: dict[str, bytes]) -> None:
        # Guards against a record that keeps those beside it from being read, or ends the process.
        async def main() -> None:
            log = InMemoryLog()
            vm = make_vm(1, 50, log, SampleDocuments(), "z1", ())
            log.put(TOPICS.members, "0", encode_member(SOUND_MEMBER))
            for key, value in odd.items():
                log.put(TOPICS.members, key, value)
            other = Member("vm-8", 80, "127.0.0.1", 8)
            log.put(TOPICS.members, "sound", encode_member(other))
            log.put(TOPICS.members, "quarantine/part-1", b"1")
            await vm.election._read_members_once()
            known = vm.election._members
            self.assertIn("vm-8", known)
            self.assertTrue("vm-7" in known or "0" in odd)
            vm.crashes.quarantined_traits()

        with mock.patch("time.time", lambda: 1.8e9):
            run_in_virtual_time(main)


class FaultTest(testtools.TestCase):
    def test_a_fault_of_the_parser_concerns_one_record(self) -> None:
        # Guards against a fault in the handling of one record that ends the process.
        class FaultyDocuments(PlatformDocuments):
            def server(self, server_id: str, document: bytes) -> BackendServer:
                if server_id == "odd":
                    raise ZeroDivisionError
                return super().server(server_id, document)

            def configuration(self, document: bytes) -> Configuration:
                if b'"Version":8' in document:
                    raise IndexError
                return super().configuration(document)

        async def body(fleet: WatchedFleet) -> None:
            for key in ("sound-1", "odd", "sound-2"):
                fleet.log.put(TOPICS.servers, key, ENTRY)
            documents: Any = FaultyDocuments()
            vm = fleet.start(1, None, documents)
            for version in (7, 8):
                fleet.log.put(
                    TOPICS.configuration, TOPICS.configuration_key, configuration(version)
                )
                await trio.sleep(READING_TIME)
            self.assertEqual({"sound-1", "sound-2"}, set(vm.states))
            self.assertEqual(7, vm.configuration.version)

        run_fleet(body)


class AnyReportTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(
        st.one_of(
            st.binary(),
            ANY_JSON,
            st.fixed_dictionaries(
                {"Running": ANY_JSON.map(json.loads), "Queued": st.integers()}
            ).map(lambda report: json.dumps(report).encode()),
        )
    )
    def test_any_report_is_malformed_or_has_usable_numbers(self, content: bytes) -> None:
        try:
            report = PlatformReports().parse(content)
        except ValueError:
            return
        self.assertTrue(0 <= report.running <= 2**53 and 0 <= report.waiting <= 2**53)
