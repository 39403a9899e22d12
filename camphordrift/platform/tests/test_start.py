"""Tests of how the program starts."""

import gc
from types import SimpleNamespace
from unittest import mock

import testtools

import camphordrift.platform
from camphordrift.platform import __main__ as program


class StartTest(testtools.TestCase):
    def test_garbage_is_collected_while_the_relay_runs_but_not_during_the_imports(self) -> None:
        states: dict[str, bool] = {}

        def import_module(name: str) -> SimpleNamespace:
            states[name] = gc.isenabled()
            return SimpleNamespace(
                run_program=lambda: states.update({"run": gc.isenabled()}),
            )

        self.addCleanup(gc.unfreeze)
        with mock.patch("importlib.import_module", import_module):
            program.main()
        self.assertEqual({"camphordrift.platform._program": False, "run": True}, states)

    def test_all_public_names_exist(self) -> None:
        for name in camphordrift.platform.__all__:
            self.assertTrue(callable(getattr(camphordrift.platform, name)), name)

    def test_an_unknown_name_is_an_attribute_error(self) -> None:
        self.assertFalse(hasattr(camphordrift.platform, "Unknown"))
