"""Tests that the platform's names stay in the adapter, and that the adapter decides nothing."""

import ast
import re
from pathlib import Path

import testtools

import camphordrift

_ROOT = Path(camphordrift.__file__).parent
_ADAPTER = _ROOT / "platform"

#: Names of headers, calls and fields that only the adapter may know. A path prefix is also called
#: so in the product's own configuration.
_PLATFORM_NAMES = re.compile(
    r"camphordrift-(attempt|deadline|expect|engine|not-executed|tenant|credential|token|prompt"
    r"|length|model|request-priority|weight|helpers)"
    r"|/v1/(readyz|report|order|log-[a-z]+)"
    r"|\b(TrafficSplit|SloMs|GapTargetMs|ResumeStreams|NoAuth|ApiKeys|KvCacheTokens"
    r"|MaxConns|ReadinessAddr|PortRange|RevokeMs|GraceS|HoldMs|RetrySlack|EndOffset|HasMore)\b"
    r"|\bkeyed\.(op|servers|status|members)\b",
    re.IGNORECASE,
)

#: What the adapter may take from the relay: types, and how to open a connection.
_DECIDING_MODULES = re.compile(
    r"_(engine_pool|engine_planner|engine_load|pool_home|dispatcher|retry_budget|request_handler"
    r"|admission|sender|refusals|server_directory|plain_servers|freshness|home_election|followers"
    r"|knowledge)"
)


class BoundaryTest(testtools.TestCase):
    def test_no_name_of_the_platform_outside_the_adapter(self) -> None:
        found = [
            f"{path.relative_to(_ROOT)}: {match.group()}"
            for path in sorted(_ROOT.rglob("*.py"))
            if _ADAPTER not in path.parents
            for match in _PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)

    def test_the_adapter_imports_nothing_that_decides(self) -> None:
        found = []
        for path in sorted(_ADAPTER.glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom) and _DECIDING_MODULES.search(node.module or ""):
                    found.append(f"{path.name}: {node.module}")
        self.assertEqual([], found)

    def test_the_soak_knows_nothing_of_the_relay(self) -> None:
        """It judges by what callers and servers see."""
        found = []
        for path in sorted((_ADAPTER / "soak").glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.ImportFrom) and "camphordrift.relay" in (node.module or ""):
                    found.append(f"{path.name}: {node.module}")
        self.assertEqual([], found)
