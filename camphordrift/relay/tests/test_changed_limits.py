"""End-to-end tests of open connections whose limits change with the configuration."""

from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay import CallerLimits
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    complete_stream,
    read_response,
    request_bytes,
    run_scenario,
)
from camphordrift.relay.tests.samples import CONFIGURATION, ScriptedServer

pytestmark = pytest.mark.sockets


class ChangedLimitTest(testtools.TestCase):
    def test_a_longer_idle_timeout_applies_to_connections_that_are_idle_already(self) -> None:
        """Guards against closing a connection at the moment at which its caller reuses it."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            short = replace(CONFIGURATION, version=4, limits=CallerLimits(idle_timeout=0.6))
            relay.publish(short)
            await relay.wait_for_version(4)
            async with await relay.connect() as stream:
                await stream.send_all(request_bytes("/quick/x", "a1"))
                self.assertEqual(200, (await read_response(stream)).status)
                # The relay has begun to wait for the next request.
                await trio.sleep(0.2)
                relay.publish(replace(short, version=5, limits=CallerLimits(idle_timeout=5.0)))
                await trio.sleep(1.2)
                await stream.send_all(request_bytes("/quick/x", "a2"))
                self.assertEqual(200, (await read_response(stream)).status)

        run_scenario(scenario, complete_stream)

    def test_a_larger_header_limit_applies_to_open_connections(self) -> None:
        """Guards against refusing headers by the limit of an older configuration."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            small = replace(CONFIGURATION, version=4, limits=CallerLimits(header_bytes=1000))
            relay.publish(small)
            await relay.wait_for_version(4)
            async with await relay.connect() as stream:
                await stream.send_all(request_bytes("/quick/x", "a1"))
                self.assertEqual(200, (await read_response(stream)).status)
                relay.publish(replace(small, version=5, limits=CallerLimits(header_bytes=8000)))
                await relay.wait_for_version(5)
                request = request_bytes("/quick/x", "a2", x_padding="p" * 3000)
                await stream.send_all(request[:2000])
                await trio.sleep(0.2)
                await stream.send_all(request[2000:])
                self.assertEqual(200, (await read_response(stream)).status)

        run_scenario(scenario, complete_stream)

    def test_headers_beyond_the_limit_are_refused(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            limits = CallerLimits(header_bytes=1000)
            relay.publish(replace(CONFIGURATION, version=4, limits=limits))
            await relay.wait_for_version(4)
            async with await relay.connect() as stream:
                request = request_bytes("/quick/x", "a1", x_padding="p" * 3000)
                await stream.send_all(request[:2000])
                self.assertEqual(431, (await read_response(stream)).status)

        run_scenario(scenario, complete_stream)

    def test_an_idle_connection_is_closed_after_its_timeout(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            limits = CallerLimits(idle_timeout=0.4)
            relay.publish(replace(CONFIGURATION, version=4, limits=limits))
            await relay.wait_for_version(4)
            async with await relay.connect() as stream:
                with trio.fail_after(3):
                    self.assertEqual(b"", await stream.receive_some(1))

        run_scenario(scenario, complete_stream)
