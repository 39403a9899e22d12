"""A short soak with real processes.

It checks only what must never happen. Longer runs check times too, which depend on the machine.
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
    def test_no_guarantee_is_violated(self) -> None:
        settings = SoakSettings(
            seed=1,
            seconds=4.0,
            vms=2,
            servers=3,
            callers=6,
            recovery_seconds=1.0,
            check_timing=False,
        )
        with tempfile.TemporaryDirectory() as directory:
            report = trio.run(run_soak, settings, process_loopback_network(), Path(directory))
        self.assertEqual((), report.violations)
        self.assertTrue(report.outcome_counts["runs"] > 0)
