"""Loopback addresses that no other test process uses."""

import os

#: Networks below 127.64 to 127.191 are for tests; the demo and the examples use lower ones.
_FIRST_TEST_NETWORK = 64
_TEST_NETWORKS = 128


def process_loopback_network() -> str:
    """Returns the first three numbers of a loopback network that belongs to this process alone.

    It is made of the process id, so that tests running side by side do not meet.
    """
    number = os.getpid() % (_TEST_NETWORKS * 256)
    return f"127.{_FIRST_TEST_NETWORK + number // 256}.{number % 256}"
