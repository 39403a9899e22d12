"""End-to-end tests of evacuated zones: their servers get no requests until they are taken back."""

from collections.abc import Sequence
from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay import Address
from camphordrift.relay.peers import TunnelRefusedError, open_tunnel
from camphordrift.relay.tests import relay_harness
from camphordrift.relay.tests.relay_harness import (
    FleetScenario,
    RelayFleet,
    RelayHarness,
    Scenario,
    chunk,
    complete_stream,
    events,
    open_relay,
    plain_success,
    record_grants,
    run_fleet_scenario,
    stream_head,
    truncates,
)
from camphordrift.relay.tests.samples import ScriptedServer, server, settings
from camphordrift.testing import HttpRequest, HttpRequestHandler

pytestmark = pytest.mark.sockets

#: Seconds within which a request is refused that no server is left for. Far less than its deadline.
REFUSAL_TIME = 1.0

#: Seconds after which changes of the store are known to a VM, and a new engine was inspected.
READ_DELAY = 1.2

#: Tokens of a prompt that takes more than half of an engine's memory, and so little time that a
#: second one waits for some seconds before it is refused as too late.
LARGE_PROMPT = "160000"


def in_zones(
    zones: Sequence[str], script: HttpRequestHandler, service: str = "engines"
) -> list[ScriptedServer]:
    """Returns one server for each zone."""
    return [
        ScriptedServer(replace(server(number, service, port=0), zone=zone), script)
        for number, zone in enumerate(zones)
    ]


def run_in_zones(scenario: Scenario, servers: list[ScriptedServer]) -> None:
    """Runs a scenario on a relay with servers."""

    async def main() -> None:
        async with open_relay(servers) as relay:
            await scenario(relay, servers)

    trio.run(main)


def run_fleet_in_z1(scenario: FleetScenario) -> None:
    """Runs a scenario on several relays with one engine in zone z1."""
    run_fleet_scenario(scenario, complete_stream)


class Held:
    """A script that sends two events of a stream and the rest, or its end, when it is released."""

    def __init__(self, rest: bytes = chunk(events(3, 5)) + b"0\r\n\r\n") -> None:
        self.started, self.released = trio.Event(), trio.Event()
        self._rest = rest

    async def __call__(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        await stream.send_all(stream_head(request) + chunk(events(1, 2)))
        self.started.set()
        await self.released.wait()
        await stream.send_all(self._rest)
        return False


class EvacuatedZoneTest(testtools.TestCase):
    async def _assert_refused(self, relay: RelayHarness, path: str, attempt: str = "a1") -> None:
        started = trio.current_time()
        response = await relay.send_request(path, attempt)
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", response.headers)
        self.assertIn(b"evacuated: z1", response.body)
        self.assertTrue(trio.current_time() - started < REFUSAL_TIME)

    def test_a_request_for_which_no_engine_is_left_is_refused_at_once(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            await self._assert_refused(relay, "/quick/x")
            self.assertEqual([], servers[0].requests)

        run_in_zones(scenario, in_zones(["z1"], complete_stream))

    def test_a_request_for_which_no_plain_server_is_left_is_refused_at_once(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            await self._assert_refused(relay, "/book/x")
            self.assertEqual([], servers[0].requests)

        run_in_zones(scenario, in_zones(["z1"], plain_success, "office"))

    def test_engines_of_other_zones_get_the_requests(self) -> None:
        self._check_other_zones("/quick/x", in_zones(["z1", "z2"], complete_stream))

    def test_plain_servers_of_other_zones_get_the_requests(self) -> None:
        self._check_other_zones("/look/x", in_zones(["z1", "z2"], plain_success, "office"))

    def _check_other_zones(self, path: str, servers: list[ScriptedServer]) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            for number in range(6):
                self.assertEqual(200, (await relay.send_request(path, f"a{number}")).status)
            self.assertEqual([0, 6], [len(item.requests) for item in servers])

        run_in_zones(scenario, servers)

    def test_a_zone_that_is_taken_back_is_used_again(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            await self._assert_refused(relay, "/quick/x")
            relay.take_back("z1")
            await relay.wait_for_evacuated()
            self.assertEqual(200, (await relay.send_request("/quick/x", "a2")).status)

        run_in_zones(scenario, in_zones(["z1"], complete_stream))

    def test_a_running_stream_ends_in_peace(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            held = Held()
            servers[0].script = held
            async with trio.open_nursery() as nursery:

                async def call() -> None:
                    response = await relay.send_request("/quick/x")
                    self.assertEqual((events(1, 5), True), (response.body, response.complete))

                nursery.start_soon(call)
                await held.started.wait()
                relay.evacuate("z1")
                await relay.wait_for_evacuated("z1")
                held.released.set()
            self.assertEqual(1, len(servers[0].requests))

        run_in_zones(scenario, in_zones(["z1"], complete_stream))

    def test_a_request_that_waits_for_an_engine_is_decided_anew(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            held = Held()
            servers[0].script = held
            async with trio.open_nursery() as nursery:

                async def wait() -> None:
                    response = await relay.send_request("/quick/x", "a2", x_tokens=LARGE_PROMPT)
                    self.assertEqual(503, response.status)
                    self.assertIn(b"evacuated: z1", response.body)
                    held.released.set()

                async def call() -> None:
                    await relay.send_request("/quick/x", "a1", x_tokens=LARGE_PROMPT)

                nursery.start_soon(call)
                await held.started.wait()
                nursery.start_soon(wait)
                while relay.process._scheduler.request_counts != (1, 1):
                    await trio.sleep(0.01)
                evacuated_at = trio.current_time()
                relay.evacuate("z1")
                await held.released.wait()
                self.assertTrue(trio.current_time() - evacuated_at < REFUSAL_TIME)
            self.assertEqual(1, len(servers[0].requests))

        run_in_zones(scenario, in_zones(["z1"], complete_stream))

    def test_a_stream_is_not_resumed_in_an_evacuated_zone(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            self.assertFalse((await relay.send_request("/quick/x")).complete)
            self.assertEqual([0, 1], [len(item.requests) for item in servers])

        run_in_zones(scenario, in_zones(["z1", "z2"], truncates))

    def test_a_stream_that_breaks_in_an_evacuated_zone_is_resumed_in_another(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            held = Held(rest=b"")
            for item in servers[:2]:
                item.script = held
            relay.evacuate("z2")
            await relay.wait_for_evacuated("z2")
            async with trio.open_nursery() as nursery:

                async def call() -> None:
                    response = await relay.send_request("/quick/x")
                    self.assertEqual((events(1, 5), True), (response.body, response.complete))

                nursery.start_soon(call)
                await held.started.wait()
                relay.evacuate("z1")
                relay.take_back("z2")
                await relay.wait_for_evacuated("z1")
                held.released.set()
            counts = [len(item.requests) for item in servers]
            self.assertEqual((1, 1), (sum(counts[:2]), counts[2]))

        run_in_zones(scenario, in_zones(["z1", "z1", "z2"], complete_stream))

    def test_an_engine_of_an_evacuated_zone_computes_no_part_of_a_prompt(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            grants = record_grants(self, relay)
            await relay.send_request("/quick/x", x_tokens="154000")
            (grant,) = grants
            self.assertTrue(grant.helpers)
            engines = [grant.server.id, *(helper.id for helper in grant.helpers)]
            self.assertNotIn(servers[0].entry.id, engines)

        run_in_zones(scenario, in_zones(["z1", "z2", "z2", "z2"], complete_stream))

    def test_an_engine_of_an_evacuated_zone_gets_no_report_request(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            # A new start of an engine is inspected otherwise.
            servers[0].entry = replace(servers[0].entry, started_ms=1)
            count = servers[0].report_count
            relay.register_server(servers[0])
            await trio.sleep(READ_DELAY)
            self.assertEqual(count, servers[0].report_count)

        run_in_zones(scenario, in_zones(["z1"], complete_stream))

    def test_no_tunnel_is_opened_to_a_server_of_an_evacuated_zone(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            connections = servers[0].connections
            address = Address(servers[0].entry.host, servers[0].entry.port)
            peers = relay.process._settings.peers
            with self.assertRaises(TunnelRefusedError):
                await open_tunnel(peers, address, 1.0)
            self.assertEqual(connections, servers[0].connections)

        run_in_zones(scenario, in_zones(["z1"], complete_stream))

    def test_the_metric(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            self.assertIn("relay_evacuated_zones 1.0\n", await relay.metrics_page())

        run_in_zones(scenario, in_zones(["z1"], complete_stream))

    def test_a_deployment_without_evacuations_ignores_the_records(self) -> None:
        self.patch(
            relay_harness,
            "settings",
            lambda number, ports: replace(settings(number, ports), evacuation_delay=None),
        )

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await trio.sleep(READ_DELAY)
            self.assertEqual(200, (await relay.send_request("/quick/x")).status)

        run_in_zones(scenario, in_zones(["z1"], complete_stream))


class UnknowingLeaderTest(testtools.TestCase):
    """The leader has not learned of the evacuation and grants engines of the zone."""

    def test_the_request_is_not_sent(self) -> None:
        async def scenario(fleet: RelayFleet) -> None:
            leader, second = await fleet.start_all(2)
            leader.evacuate("z1")
            await second.wait_for_evacuated("z1")
            leader.process._scheduler.set_servers([item.entry for item in fleet.servers])
            response = await second.send_request("/quick/x", x_patience="1")
            self.assertEqual(503, response.status)
            self.assertEqual([], fleet.servers[0].requests)

        run_fleet_in_z1(scenario)

    def test_no_memory_is_reserved(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.evacuate("z1")
            await relay.wait_for_evacuated("z1")
            relay.process._scheduler.set_servers([item.entry for item in servers])
            response = await relay.send_request("/quick/x", x_tokens="400000", x_patience="2")
            self.assertEqual(503, response.status)
            self.assertEqual([], servers[0].requests)

        run_in_zones(scenario, in_zones(["z1", "z2"], complete_stream))


class FleetTest(testtools.TestCase):
    def test_followers_refuse_it_too(self) -> None:
        async def scenario(fleet: RelayFleet) -> None:
            relays = await fleet.start_all(3)
            relays[0].evacuate("z1")
            for number, relay in enumerate(relays):
                await relay.wait_for_evacuated("z1")
                response = await relay.send_request("/quick/x", f"a{number}")
                self.assertEqual(503, response.status)
            self.assertEqual([], fleet.servers[0].requests)

        run_fleet_in_z1(scenario)

    def test_a_vm_that_starts_during_the_evacuation(self) -> None:
        async def scenario(fleet: RelayFleet) -> None:
            leader = await fleet.start()
            leader.evacuate("z1")
            await leader.wait_for_evacuated("z1")
            second = await fleet.start()
            self.assertEqual(503, (await second.send_request("/quick/x")).status)
            self.assertEqual([], fleet.servers[0].requests)

        run_fleet_in_z1(scenario)

    def test_a_vm_that_becomes_the_leader(self) -> None:
        async def scenario(fleet: RelayFleet) -> None:
            first = await fleet.start()
            first.evacuate("z1")
            await first.wait_for_evacuated("z1")
            leader = await fleet.start(cores=4.0)
            while first.leader != "vm-2":
                await trio.sleep(0.01)
            for number, relay in enumerate((first, leader)):
                response = await relay.send_request("/quick/x", f"a{number}")
                self.assertEqual(503, response.status)
            self.assertEqual([], fleet.servers[0].requests)

        run_fleet_in_z1(scenario)
