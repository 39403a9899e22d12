"""Runs the relay on the users' platform."""

import gc
import importlib

from camphordrift.platform._caller_socket import open_caller_socket


def main() -> None:
    """Runs the relay of one VM until the platform stops the process.

    A VM that starts spends most of the time before its first response on imports. Connections are
    therefore queued before them. Imports create many objects and hardly any garbage, so collections
    during them, and of their objects later, are in vain.
    """
    caller_socket = open_caller_socket()
    gc.disable()
    program = importlib.import_module("camphordrift.platform._program")
    gc.freeze()
    gc.enable()
    program.run_program(caller_socket)


if __name__ == "__main__":
    main()
