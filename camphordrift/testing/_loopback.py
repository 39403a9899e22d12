"""Loopback addresses that are distinct for each test process."""

import os

#: Tests use 127.64.0.0/16 to 127.191.0.0/16; the demo and the examples use lower networks.
_FIRST_TEST_OCTET = 64
_TEST_OCTETS = 128


def process_loopback_network() -> str:
    """Returns the first three octets of a /24 loopback network for this process.

    The octets are derived from the process id, so that tests running in parallel do not use the
    same addresses.
    """
    index = os.getpid() % (_TEST_OCTETS * 256)
    return f"127.{_FIRST_TEST_OCTET + index // 256}.{index % 256}"
