"""Tests that only the adapter has the platform's names, and that it makes no decisions itself."""

import ast
import re
from pathlib import Path

import testtools

import camphordrift

_ROOT = Path(camphordrift.__file__).parent
_ADAPTER = _ROOT / "platform"

#: Names of headers, calls and fields that only the adapter may use. PathPrefix is not among them:
#: the product's own configuration has a field of this name.
_PLATFORM_NAMES = re.compile(
    r"camphordrift-(attempt|deadline|expect|engine|not-executed|tenant|credential|token|prompt"
    r"|length|model|request-priority|weight|helpers)"
    r"|\bstore-era\b"
    r"|/v1/(readyz|report|order|log-[a-z]+)"
    r"|\b(TrafficSplit|SloMs|GapTargetMs|ResumeStreams|NoAuth|ApiKeys|KvCacheTokens"
    r"|MaxConns|ReadinessAddr|PortRange|RevokeMs|GraceS|HoldMs|RetrySlack|EndOffset|HasMore)\b"
    r"|\bserver-leaving\b"
    r"|\bkeyed\.(op|servers|status|members)\b",
    re.IGNORECASE,
)

#: Modules of the relay that make decisions. The adapter may import only types and the HTTP client.
_DECIDING_MODULES = re.compile(
    r"_(engine_pool|engine_planner|engine_load|engine_scheduler|dispatcher|retry_budget"
    r"|request_handler|admission|sender|refusals|server_directory|plain_servers"
    r"|configuration_lease|leader_election|store_watchers|store_era|routing_state"
    r"|request_attempts|follower_session|topic_watcher|server_notices|notice_distribution"
    r"|trait_quarantine|crash_analysis|crash_monitor|quarantines|sound_traits|attempt_evidence"
    r"|request_traits|server_paths|server_connector|cut_off_vms|path_sharing|tunnels)"
)


class BoundaryTest(testtools.TestCase):
    def test_platform_names_appear_only_in_the_adapter(self) -> None:
        violations = [
            f"{path.relative_to(_ROOT)}: {match.group()}"
            for path in sorted(_ROOT.rglob("*.py"))
            if _ADAPTER not in path.parents
            for match in _PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], violations)

    def test_the_adapter_imports_no_module_that_makes_decisions(self) -> None:
        violations = []
        for path in sorted(_ADAPTER.glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom) and _DECIDING_MODULES.search(node.module or ""):
                    violations.append(f"{path.name}: {node.module}")
        self.assertEqual([], violations)

    def test_the_soak_does_not_import_the_relay(self) -> None:
        """The soak checks only what callers and servers observe."""
        violations = []
        for path in sorted((_ADAPTER / "soak").glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom) and "camphordrift.relay" in (node.module or ""):
                    violations.append(f"{path.name}: {node.module}")
        self.assertEqual([], violations)
