"""Short soaks with real processes.

They check only what must never happen. Longer runs check times too, which depend on the machine.
"""

import io
import subprocess
import tarfile
import tempfile
import tomllib
from pathlib import Path
from typing import Optional

import pytest
import testtools
import trio

from camphordrift.platform.soak import SoakReport, SoakSettings, run_soak
from camphordrift.platform.soak._faults import BASIC_KINDS
from camphordrift.testing import process_loopback_network

pytestmark = pytest.mark.sockets

ROOT = Path(__file__).parents[4]


def extract_production_build(directory: Path) -> None:
    """Extracts the code of the commit that ``deploy/system.toml`` names as in production."""
    commit = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["production"]
    archive = subprocess.run(
        ["git", "-C", str(ROOT), "archive", commit, "camphordrift"], capture_output=True, check=True
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as content:
        content.extractall(directory, filter="data")


def run_short_soak(
    kinds: tuple[str, ...],
    seed: int = 1,
    seconds: float = 4.0,
    recovery_seconds: float = 1.0,
    callers: int = 6,
    former: Optional[Path] = None,
) -> SoakReport:
    settings = SoakSettings(
        seed=seed,
        seconds=seconds,
        vms=2,
        servers=3,
        callers=callers,
        kinds=kinds,
        recovery_seconds=recovery_seconds,
        check_timing=False,
        former=former,
    )
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(run_soak, settings, process_loopback_network(), Path(directory))


class ShortSoakTest(testtools.TestCase):
    def check_report(self, report: SoakReport) -> None:
        self.assertEqual((), report.violations)
        self.assertTrue(report.outcome_counts["runs"] > 0)

    def test_no_guarantee_is_violated(self) -> None:
        self.check_report(run_short_soak(BASIC_KINDS))

    def test_no_request_is_lost_because_servers_are_silent(self) -> None:
        kinds = ("server_silent", "servers_silent", "configuration_change")
        self.check_report(run_short_soak(kinds, seed=12, seconds=6.0, callers=12))

    def test_unframed_responses_that_are_broken_off_are_not_forwarded_as_complete(self) -> None:
        self.check_report(run_short_soak(("server_unframed", "servers_unframed")))

    def test_prompts_that_crash_engines_are_stopped(self) -> None:
        self.check_report(run_short_soak(("prompt_crash",), seconds=1.0))

    def test_requests_that_crash_servers_are_stopped(self) -> None:
        self.check_report(run_short_soak(("request_crash",), seconds=1.0))

    def test_vms_that_lose_their_paths_to_servers_keep_all_guarantees(self) -> None:
        kinds = ("path_hang", "path_reset", "path_refuse", "paths_hang")
        self.check_report(run_short_soak(kinds, seed=2, seconds=1.0))

    def test_servers_that_say_that_they_leave_get_no_more_requests(self) -> None:
        self.check_report(run_short_soak(("server_leave",), seed=31, seconds=1.5, callers=12))

    def test_servers_that_turn_requests_away_get_none_until_they_want_them(self) -> None:
        kinds = ("server_turn_away", "servers_turn_away")
        self.check_report(run_short_soak(kinds, seconds=2.0, callers=18))

    def test_servers_that_limit_requests_get_no_more(self) -> None:
        kinds = ("server_limit", "servers_limit")
        self.check_report(run_short_soak(kinds, seconds=1.5, callers=18))

    def test_servers_that_become_cold_get_no_more_than_their_rate(self) -> None:
        kinds = ("server_cold", "servers_cold")
        self.check_report(run_short_soak(kinds, seconds=1.5, callers=18))

    def test_evacuated_zones_get_no_requests(self) -> None:
        kinds = ("configuration_change", "zone_evacuate")
        self.check_report(run_short_soak(kinds, seed=354, seconds=5.0, callers=12))

    def test_versions_in_quick_succession_are_in_force_in_time(self) -> None:
        kinds = ("configuration_storm", "server_replace")
        self.check_report(run_short_soak(kinds, seconds=3.0, recovery_seconds=4.0))

    def test_no_configuration_is_missed_after_the_store_was_restored_from_an_older_copy(
        self,
    ) -> None:
        report = run_short_soak(("store_restore",), seed=2, seconds=3.0, recovery_seconds=4.0)
        self.check_report(report)

    def test_vms_of_the_build_in_production_are_replaced_by_this_one_and_back(self) -> None:
        """Needs the repository's history, as the code of that build is taken from it."""
        with tempfile.TemporaryDirectory() as directory:
            extract_production_build(Path(directory))
            self.check_report(run_short_soak((), seed=1, seconds=8.0, former=Path(directory)))
