"""Tests of connections to servers through other VMs, in virtual time and without sockets."""

from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import cast

import testtools
import trio

from camphordrift.relay.connections import ByteStream, NoPathError
from camphordrift.relay.model import Address
from camphordrift.relay.peers import TunnelRefusedError
from camphordrift.relay.requests import ServerConnector, _server_connector
from camphordrift.testing import run_in_virtual_time

#: Timeout in seconds of the connections.
TIMEOUT = 0.5

SERVERS = [Address(f"10.0.0.{number}", 80) for number in range(1, 9)]

VMS = [Address(f"10.0.1.{number}", 70) for number in range(1, 7)]

#: The VM to which the running task belongs; tasks inherit it from the one that started them.
_current_vm: ContextVar[Address] = ContextVar("current_vm")


class _Connection:
    def abort(self) -> None:
        """Closes the connection."""


class _Helpers:
    """Names the other VMs, those that failed last."""

    def __init__(self, others: list[Address]) -> None:
        self._others = others

    def addresses(self) -> list[Address]:
        """Returns the addresses of the VMs to ask."""
        return self._others

    def record_failed(self, vm: Address) -> None:
        """Asks a VM after the others from now on."""
        self._others.remove(vm)
        self._others.append(vm)

    def state_cut_off(self, is_cut_off: bool) -> None:
        """Ignores the statement."""


class _Fleet:
    """The connectors of six VMs, on a network that refuses the connections of some of them."""

    def __init__(self, case: testtools.TestCase) -> None:
        self.connectors = {
            vm: ServerConnector(
                _Helpers([other for other in VMS if other != vm]), lambda: SERVERS, lambda _: None
            )
            for vm in VMS
        }
        self.refused_vms: set[Address] = set()
        self.crashed: set[Address] = set()
        case.patch(_server_connector, "open_stream", self._open_stream)
        case.patch(_server_connector, "open_tunnel", self._open_tunnel)

    async def refusal(self, vm: Address, server: Address) -> TunnelRefusedError:
        """Returns why a VM opens no tunnel to a server."""
        try:
            await self._open_tunnel(vm, server, TIMEOUT)
        except TunnelRefusedError as error:
            return error
        raise AssertionError("the tunnel was opened")

    def connect(self, vm: Address, server: Address) -> Awaitable[ByteStream]:
        """Connects a VM to a server."""
        return self._as_vm(vm, lambda: self.connectors[vm].connect(server.host, 80, TIMEOUT))

    async def _as_vm(self, vm: Address, connect: Callable[[], Awaitable[ByteStream]]) -> ByteStream:
        token = _current_vm.set(vm)
        try:
            return await connect()
        finally:
            _current_vm.reset(token)

    async def _open_stream(self, host: str, port: int, timeout: float) -> ByteStream:
        await trio.sleep(0.001)
        if _current_vm.get() in self.refused_vms or Address(host, port) in self.crashed:
            raise ConnectionRefusedError("refused")
        return cast(ByteStream, _Connection())

    async def _open_tunnel(self, vm: Address, server: Address, timeout: float) -> ByteStream:
        connector = self.connectors[vm]
        try:
            with trio.fail_after(timeout):
                return await self._as_vm(
                    vm, lambda: connector.connect_for_other_vm(server, timeout)
                )
        except (OSError, trio.TooSlowError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise TunnelRefusedError(str(error), refused) from error


class RefusedConnectionTest(testtools.TestCase):
    """Guards against VMs that confirm each other that sound servers have crashed.

    On second1 of bazarnik-prod, third play, VMs that were cut off served 0 of 44 requests.
    """

    def test_a_vm_that_is_cut_off_uses_the_only_one_that_is_not(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            fleet.refused_vms = set(VMS[:5])
            for vm in VMS[:5]:
                outcomes = [await _outcome(fleet, vm, server) for server in SERVERS[:4]]
                self.assertEqual("connected", outcomes[-1])

        self._run(scenario)

    def test_a_vm_that_is_cut_off_does_not_state_that_a_server_refused(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            fleet.refused_vms = set(VMS)
            self.assertFalse((await fleet.refusal(VMS[1], SERVERS[0])).server_refused)

        self._run(scenario)

    def test_a_vm_with_other_paths_states_that_a_server_refused(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            fleet.crashed = set(SERVERS[:1])
            self.assertTrue((await fleet.refusal(VMS[1], SERVERS[0])).server_refused)

        self._run(scenario)

    def test_failures_of_a_vm_that_may_be_cut_off_say_nothing_about_servers(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            fleet.refused_vms = set(VMS)
            outcomes = [await _outcome(fleet, VMS[0], server) for server in SERVERS[:3]]
            self.assertEqual(["failed", "no path", "no path"], outcomes)

        self._run(scenario)

    def test_crashed_servers_are_told_from_lost_paths(self) -> None:
        async def scenario(fleet: _Fleet) -> None:
            fleet.crashed = set(SERVERS[:3])
            outcomes = [await _outcome(fleet, VMS[0], server) for server in SERVERS[:4]]
            self.assertEqual(["failed", "failed", "failed", "connected"], outcomes)

        self._run(scenario)

    def _run(self, scenario: Callable[[_Fleet], Awaitable[None]]) -> None:
        async def main() -> None:
            await scenario(_Fleet(self))

        run_in_virtual_time(main)


async def _outcome(fleet: _Fleet, vm: Address, server: Address) -> str:
    try:
        await fleet.connect(vm, server)
    except NoPathError:
        return "no path"
    except OSError:
        return "failed"
    return "connected"
