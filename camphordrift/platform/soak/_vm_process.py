"""Starts a relay whose paths to servers can be cut; run as a script.

Loopback connections cannot be cut between one process and another one from outside. New connections
to servers are therefore intercepted here; a file tells how. They also get the VM's own address, so
that the proxies of the servers can disrupt the open ones.
"""

import os
import runpy
import socket
from enum import Enum
from pathlib import Path

#: Environment variables with the address of the VM, the port of all servers, the path of the file,
#: and a host and port that answer no connection.
VM_HOST, SERVER_PORT = "CAMPHORDRIFT_SOAK_HOST", "CAMPHORDRIFT_SOAK_SERVER_PORT"
CUT_PATH, SILENT_ADDRESS = "CAMPHORDRIFT_SOAK_CUT", "CAMPHORDRIFT_SOAK_SILENT_ADDRESS"

#: Smallest last octet of the addresses of servers; VMs and the store have smaller ones.
_FIRST_SERVER_OCTET = 100


class Cut(Enum):
    """What becomes of new connections to servers; the value is the content of the file."""

    NONE = ""
    REFUSE = "refuse"
    HANG = "hang"


def main() -> None:
    """Runs the relay; does not return before it ends."""
    connect = socket.socket.connect

    def connect_unless_cut(self: socket.socket, address: tuple[str, int]) -> None:
        if _is_server(*address):
            self.bind((os.environ[VM_HOST], 0))
            match Cut(Path(os.environ[CUT_PATH]).read_text()):
                case Cut.REFUSE:
                    raise ConnectionRefusedError("the path to the servers is cut")
                case Cut.HANG:
                    host, _, port = os.environ[SILENT_ADDRESS].partition(":")
                    address = host, int(port)
                case Cut.NONE:
                    pass
        connect(self, address)

    socket.socket.connect = connect_unless_cut  # type: ignore[method-assign, assignment]
    runpy.run_module("camphordrift.platform", run_name="__main__")


def _is_server(host: str, port: int) -> bool:
    octet = int(host.rpartition(".")[2])
    return port == int(os.environ[SERVER_PORT]) and octet >= _FIRST_SERVER_OCTET


if __name__ == "__main__":
    main()
