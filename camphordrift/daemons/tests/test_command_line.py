"""Tests of the command line: output, exit codes and error lines."""

import contextlib
import io
import os
import tempfile
from pathlib import Path
from unittest import mock

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

import camphordrift
from camphordrift.calls import parse_call_key
from camphordrift.daemons._command_line import run_command
from camphordrift.daemons._exit_codes import ExitCode
from camphordrift.identifiers import AccountId
from camphordrift.security import hash_key

EXAMPLES = Path(__file__).parents[3] / "examples"

#: Commands that start no process and contact no VM when run with random arguments.
SAFE_COMMANDS = (
    "codes",
    "settings check",
    "publish",
    "show",
    "diff",
    "history",
    "drain",
    "nothing",
)


class CommandLineCase(testtools.TestCase):
    """Runs commands without the ``CAMPHORDRIFT_*`` variables of the test process."""

    def setUp(self) -> None:
        super().setUp()
        self.set_program_variables({})

    def set_program_variables(self, variables: dict[str, str]) -> None:
        """Replaces all ``CAMPHORDRIFT_*`` environment variables by ``variables``."""
        kept = {k: v for k, v in os.environ.items() if not k.startswith("CAMPHORDRIFT_")}
        patch = mock.patch.dict(os.environ, {**kept, **variables}, clear=True)
        patch.start()
        self.addCleanup(patch.stop)

    def run_tokens(self, *tokens: str) -> tuple[ExitCode, str, list[str]]:
        """Runs a command; returns exit code, standard output and the lines of standard error."""
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = run_command(tokens)
        return code, output.getvalue(), errors.getvalue().splitlines()


class LocalCommandsTest(CommandLineCase):
    def test_version(self) -> None:
        self.assertEqual(
            (ExitCode.DONE, camphordrift.__version__ + "\n", []), self.run_tokens("--version")
        )

    def test_help_lists_the_exit_codes(self) -> None:
        for tokens in (("--help",), ("publish", "--help"), ("settings", "check", "--help")):
            code, output, _ = self.run_tokens(*tokens)
            self.assertEqual(ExitCode.DONE, code)
            self.assertIn("5 outcome unknown", " ".join(output.split()))

    def test_keygen_prints_the_key_and_its_hash(self) -> None:
        _, output, _ = self.run_tokens("keygen", "account")
        lines = dict(line.split() for line in output.splitlines())
        self.assertEqual(hash_key(lines["key"]), lines["hash"])

    def test_idempotency_key_is_valid_for_a_call(self) -> None:
        _, output, _ = self.run_tokens("idempotency-key")
        parsed = parse_call_key(AccountId("candidates"), output.strip())
        self.assertIsInstance(parsed, Success)

    def test_codes_prints_one_entry(self) -> None:
        _, output, _ = self.run_tokens("codes", "4004")
        self.assertRegex(output, r"^4004 CALL_STILL_RUNNING +HTTP 409 outcome_unknown")
        self.assertEqual(ExitCode.BAD_INPUT, self.run_tokens("codes", "4999")[0])

    def test_settings_check_reports_invalid_files(self) -> None:
        good = str(EXAMPLES / "bazarnik" / "zlin-c-1.toml")
        self.assertEqual(
            (ExitCode.DONE, f"{good}: good\n", []), self.run_tokens("settings", "check", good)
        )
        code, output, errors = self.run_tokens("settings", "check", good, "missing.toml")
        self.assertEqual((ExitCode.BAD_INPUT, f"{good}: good\n"), (code, output))
        self.assertEqual(
            ["camphordrift: missing.toml: the file: cannot be read: No such file or directory"],
            errors,
        )


class BadInputTest(CommandLineCase):
    """Invalid input is reported in one line on standard error, with exit code 2."""

    def check(self, expected: str, *tokens: str) -> None:
        code, output, errors = self.run_tokens(*tokens)
        self.assertEqual((ExitCode.BAD_INPUT, "", 1), (code, output, len(errors)), str(errors))
        self.assertIn(expected, errors[0])

    def test_invalid_arguments(self) -> None:
        self.check("Did you mean", "publsh", "x.toml")
        self.check("requires an argument", "publish")
        self.check('unable to convert "x" into int', "codes", "x")
        self.check("no settings file given", "settings", "check")
        self.check('Choose from: "kowalczyk"', "measure", "--deployments", "nowhere")
        self.check("Must be < ", "measure", "--seconds", "nan")
        self.check("Must be > 0", "measure", "--loads", "-1")
        self.check("Choose from", "soak", "weather")
        self.check("Must be >= 1", "soak", "calls", "--seeds", "0")

    def test_missing_or_invalid_vm_access(self) -> None:
        self.check("no VM given", "dump")
        self.check("is not an IP address", "dump", "--vm", "localhost:8081")
        self.check("no operator's key in", "dump", "--vm", "127.0.0.1:1")
        self.check("cannot be read", "dump", "--vm", "127.0.0.1:1", "--key-file", "/nonexistent")

    def test_invalid_record_files(self) -> None:
        self.set_program_variables(
            {"CAMPHORDRIFT_VM": "127.0.0.1:1", "CAMPHORDRIFT_OPERATOR_KEY": "k"}
        )
        with tempfile.TemporaryDirectory() as directory:
            for name, content, expected in (
                ("a.toml", b"x = ", "expected TOML"),
                ("a.toml", b"x = 2026-01-01", "JSON does not support"),
                ("a.toml", b"x = nan", "JSON does not support"),
                ("a.json", b"[1]", "expected a JSON object"),
                ("a.json", b'{"a":' * 100_000, "expected JSON"),
                ("a.json", b"\xff", "UTF-8"),
                ("a.txt", b"", "named .toml or .json"),
                ("missing.toml", None, "cannot be read"),
            ):
                file = Path(directory) / name
                if content is not None:
                    file.write_bytes(content)
                self.check(expected, "publish", str(file))

    def test_vm_unreachable(self) -> None:
        self.set_program_variables({"CAMPHORDRIFT_OPERATOR_KEY": "k"})
        code, _, errors = self.run_tokens("drain", "--vm", "127.0.0.1:1")
        self.assertEqual(ExitCode.UNREACHABLE, code)
        self.assertEqual(1, len(errors))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        command=st.sampled_from(SAFE_COMMANDS),
        tokens=st.lists(
            st.text(max_size=8) | st.sampled_from(["--vm", "--limit", "-1"]), max_size=3
        ),
    )
    def test_arbitrary_arguments_end_with_an_exit_code(
        self, command: str, tokens: list[str]
    ) -> None:
        code, _, errors = self.run_tokens(*command.split(), *tokens)
        self.assertIn(code, list(ExitCode))
        for line in errors:
            self.assertTrue(line.startswith("camphordrift: ") and line.isprintable(), repr(line))


class SoakTest(CommandLineCase):
    def test_prints_a_line_for_each_seed(self) -> None:
        code, output, _ = self.run_tokens(
            "soak", "configuration", "--first-seed", "3", "--seeds", "1"
        )
        self.assertIs(ExitCode.DONE, code)
        self.assertRegex(output, r"^seed=3 \S.*\n$")

    def test_prints_the_seed_that_violated_an_invariant(self) -> None:
        target = "camphordrift.experiments._calls_soak.run_calls_soak"
        errors = io.StringIO()
        violation = mock.patch(target, side_effect=AssertionError("twice"))
        with violation, contextlib.redirect_stderr(errors):
            self.assertRaises(AssertionError, run_command, ["soak", "calls"])
        self.assertEqual("camphordrift: seed 1 violated an invariant of calls\n", errors.getvalue())


class RunCommandsTest(CommandLineCase):
    """A startup failure is reported in one line; other errors keep their traceback."""

    def run_demo_that_raises(self, error: BaseException) -> tuple[ExitCode, str, list[str]]:
        with mock.patch("camphordrift.daemons._processes.run_demo", side_effect=error):
            return self.run_tokens("demo")

    def test_address_in_use(self) -> None:
        inner = ExceptionGroup("nursery", [OSError(98, "Address already in use")])
        for error in (inner, ExceptionGroup("nursery", [inner])):
            code, _, errors = self.run_demo_that_raises(error)
            self.assertEqual(ExitCode.FAILED, code)
            self.assertEqual(
                ["camphordrift: cannot start: [Errno 98] Address already in use"], errors
            )

    def test_unexpected_error_keeps_its_traceback(self) -> None:
        group = ExceptionGroup("nursery", [OSError(98, "x"), ZeroDivisionError()])
        self.assertRaises(ExceptionGroup, self.run_demo_that_raises, group)

    def test_missing_settings_file(self) -> None:
        for command in ("entry", "standins"):
            code, _, errors = self.run_tokens(command, "--settings", "missing.toml")
            self.assertEqual((ExitCode.BAD_INPUT, 1), (code, len(errors)))
