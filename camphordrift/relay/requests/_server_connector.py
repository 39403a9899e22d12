"""Connects to servers, over this VM's own paths or through other VMs that have one."""

import random
from collections.abc import Callable, Collection
from typing import Optional, Protocol

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import ByteStream, NoPathError, open_stream
from camphordrift.relay.model import Address
from camphordrift.relay.peers import TunnelRefusedError, open_tunnel
from camphordrift.relay.servers import ServerPaths

#: Seconds after which a connection through another VM is attempted as well. Usual delays are a few
#: milliseconds; a lost packet is sent again after a second.
HEAD_START = 0.1

#: Timeout in seconds of a connection through another VM, and the maximum number of VMs to ask.
TUNNEL_TIMEOUT, MAX_VMS_ASKED = 0.4, 4

#: Seconds after which the next VM is asked as well. A VM that has just lost its paths, too, does
#: not respond before the timeout.
NEXT_VM_DELAY = 0.06

#: Seconds between checks of whether lost paths are back, and the number of servers that are
#: checked each time.
CHECK_INTERVAL, SERVERS_CHECKED = 0.5, 3

#: Timeout in seconds of a connection that checks a path.
CHECK_TIMEOUT = 0.25


class PathHelpers(Protocol):
    """The VMs that may have paths to servers that this one lost."""

    def addresses(self) -> list[Address]:
        """Returns the addresses of the VMs to ask, best first."""

    def record_failed(self, vm: Address) -> None:
        """Records that a VM opened no connection to a server that may be sound."""

    def state_cut_off(self, is_cut_off: bool) -> None:
        """Tells the other VMs whether this one is cut off from the servers."""


class ServerConnector:
    """Opens connections to servers; :meth:`run` must be running.

    Args:
        helpers: Other VMs.
        listed: Returns the addresses of all listed servers.
        on_paths_lost: Called when idle connections may no longer be used, with the server, or
            without one for all servers.

    """

    def __init__(
        self,
        helpers: PathHelpers,
        listed: Callable[[], Collection[Address]],
        on_paths_lost: Callable[[Optional[Address]], None],
    ) -> None:
        self._helpers = helpers
        self._listed = listed
        self._on_paths_lost = on_paths_lost
        self._paths = ServerPaths()
        self._was_cut_off = False
        self._to_check, self._checks = trio.open_memory_channel[Address](100)
        self._checking: set[Address] = set()

    @property
    def lost_count(self) -> int:
        """Number of servers that only other VMs reached last."""
        return len(self._paths.lost)

    @property
    def is_cut_off(self) -> bool:
        """Whether this VM presumably reaches no server by itself."""
        return self._paths.is_cut_off

    async def connect_directly(self, address: Address, timeout: float) -> ByteStream:
        """Opens a connection over this VM's own path.

        Raises:
            OSError: The connection failed, or was not established within ``timeout`` seconds.

        """
        stream = await open_stream(address.host, address.port, timeout)
        self._paths.record_reached(address)
        self._update()
        return stream

    async def connect_for_other_vm(self, address: Address, timeout: float) -> ByteStream:
        """Opens a connection for another VM.

        Raises:
            ConnectionRefusedError: The server refused the connection.
            OSError: This VM has no path to the server, or the connection failed.

        """
        if self._paths.is_lost(address):
            raise OSError("this VM lost its path to the server, too")
        try:
            return await self.connect_directly(address, timeout)
        except ConnectionRefusedError as error:
            # A network that refuses all connections of this VM looks like a crash of the server.
            if await self._reaches_another_server(address):
                raise
            raise OSError(f"{error}; this VM reaches no other server, either") from error
        except TimeoutError:
            # Both VMs may have lost their paths at the same time.
            self.check(address.host, address.port)
            raise

    async def connect(self, host: str, port: int, timeout: float) -> ByteStream:
        """Opens a connection to a server, through another VM if this one does not reach it.

        Raises:
            NoPathError: No VM reached the server, and this one may be cut off.
            OSError: No connection was established within about ``timeout`` seconds.

        """
        address = Address(host, port)
        if self._paths.is_lost(address):
            try:
                return await self._connect_through_other_vm(address)
            except TunnelRefusedError as error:
                self._paths.record_unreachable(address, trio.current_time())
                log_event("tunnel_failed", server=str(address), reason=str(error))
        race = _Race()
        async with trio.open_nursery() as nursery:
            race.scope = nursery.cancel_scope
            race.scope.deadline = trio.current_time() + timeout
            nursery.start_soon(self._try_directly, address, timeout, race)
            if self._paths.may_use_other_vm(address, trio.current_time()):
                nursery.start_soon(self._try_through_other_vm, address, race)
            else:
                race.tunnel_error = TunnelRefusedError("no VM reached the server just before")
        if race.winner is not None:
            return race.winner
        raise self._record_failure(address, race)

    def check(self, host: str, port: int) -> None:
        """Checks a path in the background, because a server has been silent on it."""
        address = Address(host, port)
        if address not in self._checking and not self._paths.is_lost(address):
            self._checking.add(address)
            try:
                self._to_check.send_nowait(address)
            except trio.WouldBlock:
                self._checking.discard(address)

    async def run(self) -> None:
        """Checks paths until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check_lost_paths)
            async for address in self._checks:
                nursery.start_soon(self._check_path, address)

    async def _check_path(self, address: Address) -> None:
        try:
            (await self.connect(address.host, address.port, CHECK_TIMEOUT)).abort()
        except OSError as error:
            log_event("path_check_failed", server=str(address), reason=str(error))
        finally:
            self._checking.discard(address)

    async def _check_lost_paths(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL)
            self._paths.forget_unlisted(self._listed(), trio.current_time())
            self._update()
            lost = sorted(self._paths.lost, key=lambda address: (address.host, address.port))
            for address in random.sample(lost, min(len(lost), SERVERS_CHECKED)):
                try:
                    (await self.connect_directly(address, CHECK_TIMEOUT)).abort()
                except OSError:
                    # The path is still lost, as is logged when the VM counts as cut off.
                    continue

    async def _try_directly(self, address: Address, timeout: float, race: "_Race") -> None:
        try:
            race.finish(await self.connect_directly(address, timeout))
        except OSError as error:
            race.direct_error = error
            race.head_start_over.set()

    async def _try_through_other_vm(self, address: Address, race: "_Race") -> None:
        with trio.move_on_after(HEAD_START):
            await race.head_start_over.wait()
        try:
            race.finish(await self._connect_through_other_vm(address))
        except TunnelRefusedError as error:
            race.tunnel_error = error

    async def _connect_through_other_vm(self, address: Address) -> ByteStream:
        """Returns a connection through the first VM that has one.

        Raises:
            TunnelRefusedError: No VM has a connection.

        """
        race = _Race()
        race.tunnel_error = TunnelRefusedError("no other VM is known")
        async with trio.open_nursery() as nursery:
            race.scope = nursery.cancel_scope
            for vm in self._helpers.addresses()[:MAX_VMS_ASKED]:
                ended = trio.Event()
                nursery.start_soon(self._try_vm, vm, address, race, ended)
                with trio.move_on_after(NEXT_VM_DELAY):
                    await ended.wait()
                if race.tunnel_error.server_refused:
                    break
        if race.winner is None:
            raise race.tunnel_error
        self._record_lost(address)
        return race.winner

    async def _try_vm(
        self, vm: Address, address: Address, race: "_Race", ended: trio.Event
    ) -> None:
        try:
            race.finish(await open_tunnel(vm, address, TUNNEL_TIMEOUT))
        except TunnelRefusedError as error:
            if race.tunnel_error is None or not race.tunnel_error.server_refused:
                race.tunnel_error = error
            if not error.server_refused:
                self._helpers.record_failed(vm)
        ended.set()

    def _record_lost(self, address: Address) -> None:
        is_new = address not in self._paths.lost
        self._paths.record_lost(address)
        if is_new:
            log_event("path_lost", level=LogLevel.WARNING, server=str(address))
            self._on_paths_lost(address)
            if not self._paths.is_cut_off:
                self._check_others(address)
        self._update()

    def _check_others(self, address: Address) -> None:
        """Checks some other paths, which may be lost for the same reason."""
        for other in self._sample_others(address):
            self.check(other.host, other.port)

    def _sample_others(self, address: Address) -> list[Address]:
        """Returns some listed servers other than the given one."""
        others = [item for item in self._listed() if item != address]
        return random.sample(others, min(len(others), SERVERS_CHECKED))

    def _update(self) -> None:
        is_cut_off = self._paths.is_cut_off
        if is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = is_cut_off
        log_event("cut_off" if is_cut_off else "paths_regained", level=LogLevel.WARNING)
        self._helpers.state_cut_off(is_cut_off)
        if is_cut_off:
            self._on_paths_lost(None)

    def _record_failure(self, address: Address, race: "_Race") -> OSError:
        """Records that there is no connection to a server; returns why."""
        could_be_cut_off = self._paths.may_be_cut_off
        self._paths.record_unreachable(address, trio.current_time())
        if race.tunnel_error is not None and race.tunnel_error.server_refused:
            return ConnectionRefusedError(f"{address} refused the connection of another VM")
        error = race.direct_error or TimeoutError(f"connecting to {address} timed out")
        if not self._paths.may_be_cut_off:
            return error
        if not could_be_cut_off:
            log_event("may_be_cut_off", level=LogLevel.WARNING, server=str(address))
            self._check_others(address)
        return NoPathError(f"{error}; this VM may have lost its paths")

    async def _reaches_another_server(self, address: Address) -> bool:
        """Returns whether this VM can connect to any of some servers other than the given one."""
        has_path = False

        async def try_server(other: Address) -> None:
            nonlocal has_path
            try:
                (await self.connect_directly(other, CHECK_TIMEOUT)).abort()
            except OSError:
                # The caller logs that this VM reaches no server.
                return
            has_path = True
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for other in self._sample_others(address):
                nursery.start_soon(try_server, other)
        return has_path


class _Race:
    """Two attempts to connect to a server, of which the first to succeed ends the other."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.winner: Optional[ByteStream] = None
        self.head_start_over = trio.Event()
        self.direct_error: Optional[OSError] = None
        self.tunnel_error: Optional[TunnelRefusedError] = None

    def finish(self, stream: ByteStream) -> None:
        """Records a connection; closes it if there is one already."""
        if self.winner is not None:
            stream.abort()
            return
        self.winner = stream
        self.scope.cancel()
