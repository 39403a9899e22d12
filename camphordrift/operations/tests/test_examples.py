"""Tests that the example configurations are accepted and match the example settings."""

import tomllib
from pathlib import Path

import testtools

from camphordrift.configuration import (
    HIGHEST_SCHEMA_VERSION,
    Accepted,
    BackendServerKind,
    ConfigurationSnapshot,
    ConfigurationState,
    apply_record,
    prepare_record,
)
from camphordrift.settings import load_standin_settings

EXAMPLES = Path(__file__).parents[3] / "examples"


def snapshot_of_example(fleet: str) -> ConfigurationSnapshot:
    """Returns the snapshot that results from publishing the fleet's example configuration."""
    raw = tomllib.loads((EXAMPLES / fleet / "configuration.toml").read_text(encoding="utf-8"))
    state = ConfigurationState()
    record = prepare_record(raw, HIGHEST_SCHEMA_VERSION).unwrap()
    decision = apply_record(state, record, "1", 0)
    assert isinstance(decision, Accepted), decision
    return state.snapshot()


class ExampleConfigurationTest(testtools.TestCase):
    def test_backend_servers_are_the_stand_ins(self) -> None:
        for fleet in ("kowalczyk", "bazarnik"):
            snapshot = snapshot_of_example(fleet)
            standins = load_standin_settings(EXAMPLES / fleet / "standins.toml").unwrap()
            for engine in standins.engines:
                server = snapshot.server_named(engine.engine_id)
                assert server is not None
                self.assertIs(BackendServerKind.ENGINE, server.kind)
                self.assertEqual(engine.listen.host, server.address)
                self.assertEqual(engine.listen.port, server.port)
                self.assertEqual(engine.checks_fencing, server.checks_fencing)
                self.assertEqual(engine.memory_tokens, server.memory_tokens)
            self.assertEqual(len(standins.engines), len(snapshot.engines()))
            for plain in standins.services:
                self.assertIsNotNone(snapshot.server_named(plain.server_id))
