"""Tests of how the program starts."""

import gc
import json
import os
import socket
import tempfile
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import testtools

import camphordrift.platform
from camphordrift.platform import __main__ as program
from camphordrift.platform._caller_socket import SETTINGS_PATH_VARIABLE, open_caller_socket
from camphordrift.testing import process_loopback_network


class StartTest(testtools.TestCase):
    def test_garbage_is_collected_while_the_relay_runs_but_not_during_the_imports(self) -> None:
        states: dict[str, bool] = {}

        def import_module(name: str) -> SimpleNamespace:
            states[name] = gc.isenabled()
            return SimpleNamespace(
                run_program=lambda caller_socket: states.update({"run": gc.isenabled()}),
            )

        self.addCleanup(gc.unfreeze)
        with (
            mock.patch("importlib.import_module", import_module),
            mock.patch.object(program, "open_caller_socket", lambda: None),
        ):
            program.main()
        self.assertEqual({"camphordrift.platform._program": False, "run": True}, states)

    def test_all_public_names_exist(self) -> None:
        for name in camphordrift.platform.__all__:
            self.assertTrue(callable(getattr(camphordrift.platform, name)), name)

    def test_an_unknown_name_is_an_attribute_error(self) -> None:
        self.assertFalse(hasattr(camphordrift.platform, "Unknown"))


class CallerSocketTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.host = f"{process_loopback_network()}.1"

    def write_settings(self, content: object) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name, "settings.json")
        path.write_text(json.dumps(content), encoding="utf-8")
        patch = mock.patch.dict("os.environ", {SETTINGS_PATH_VARIABLE: str(path)})
        patch.start()
        self.addCleanup(patch.stop)

    def open_socket(self) -> socket.socket:
        opened = open_caller_socket()
        assert opened is not None
        self.addCleanup(opened.close)
        return opened

    def test_connections_are_queued_before_the_program_is_imported(self) -> None:
        self.write_settings({"Listen": {"Front": f"{self.host}:0"}})
        connected: list[bool] = []

        def import_module(name: str) -> SimpleNamespace:
            return SimpleNamespace(run_program=run_program)

        def run_program(caller_socket: socket.socket) -> None:
            self.addCleanup(caller_socket.close)
            with socket.create_connection(caller_socket.getsockname(), timeout=5.0):
                connected.append(True)

        self.addCleanup(gc.unfreeze)
        with mock.patch("importlib.import_module", import_module):
            program.main()
        self.assertEqual([True], connected)

    def test_settings_without_an_address_open_no_socket(self) -> None:
        contents: tuple[object, ...] = (
            {},
            [],
            {"Listen": {}},
            {"Listen": {"Front": 5}},
            {"Listen": {"Front": "x"}},
        )
        for content in contents:
            self.write_settings(content)
            self.assertIs(None, open_caller_socket(), str(content))

    def test_nested_settings_open_no_socket(self) -> None:
        # Guards against a RecursionError, which ends the program before it says what is wrong.
        self.write_settings({"Other": "nested"})
        path = Path(os.environ[SETTINGS_PATH_VARIABLE])
        path.write_text('{"Other":' + "[" * 100_000 + "]" * 100_000 + "}", encoding="utf-8")
        self.assertIs(None, open_caller_socket())

    def test_an_address_in_use_opens_no_socket(self) -> None:
        self.write_settings({"Listen": {"Front": f"{self.host}:0"}})
        host, port = self.open_socket().getsockname()
        self.write_settings({"Listen": {"Front": f"{host}:{port}"}})
        self.assertIs(None, open_caller_socket())
