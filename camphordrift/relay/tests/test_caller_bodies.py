"""Tests of what a VM holds of the bodies of callers' requests."""

import pytest
import testtools

from camphordrift.relay.model import CallerLimits
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    plain_success,
    read_response,
    request_bytes,
    run_scenario,
)
from camphordrift.relay.tests.samples import ScriptedServer

#: A length far over the limit of a body.
FAR_OVER_LIMIT = 100 * CallerLimits().body_bytes


@pytest.mark.sockets
class AnnouncedLengthTest(testtools.TestCase):
    """Guards against bodies that are read although their announced length is not permitted."""

    def check(self, **headers: str) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async with await relay.connect() as stream:
                headers["content_length"] = str(FAR_OVER_LIMIT)
                await stream.send_all(request_bytes("/quick/1", **headers))
                response = await read_response(stream)
            self.assertEqual((413, True), (response.status, response.complete))
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, plain_success, service="plain")

    def test_refused_before_the_body(self) -> None:
        self.check()

    def test_refused_instead_of_100_continue(self) -> None:
        self.check(expect="100-continue")


@pytest.mark.sockets
class IncompleteEventTest(testtools.TestCase):
    """Guards against size lines of chunks and trailers of which any length is kept."""

    def check(self, body: bytes) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async with await relay.connect() as stream:
                head = request_bytes("/quick/1", transfer_encoding="chunked")
                await stream.send_all(head.replace(b"content-length: 0\r\n", b"") + body)
                response = await read_response(stream)
            self.assertEqual((431, True), (response.status, response.complete))
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, plain_success, service="plain")

    def test_size_line(self) -> None:
        self.check(b"1;extension=" + b"x" * 2 * CallerLimits().header_bytes)

    def test_trailers(self) -> None:
        self.check(b"1\r\nx\r\n0\r\ntrailer: " + b"x" * 2 * CallerLimits().header_bytes)
