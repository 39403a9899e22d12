"""A short run with real processes.

It judges what may never happen; times, which depend on the machine, are judged in longer runs.
"""

import tempfile
from pathlib import Path

import pytest
import testtools
import trio

from camphordrift.platform.soak import SoakSettings, run_soak
from camphordrift.testing import process_loopback_network

pytestmark = pytest.mark.sockets


class ShortSoakTest(testtools.TestCase):
    def test_promises_are_kept(self) -> None:
        settings = SoakSettings(
            seed=1, seconds=4.0, vms=2, servers=3, callers=6, recovery=1.0, judges_times=False
        )
        with tempfile.TemporaryDirectory() as directory:
            report = trio.run(run_soak, settings, process_loopback_network(), Path(directory))
        self.assertEqual((), report.broken)
        self.assertTrue(report.counts["runs"] > 0)
