"""Tests of state dumps, signal handling and the record of decisions."""

import json
import os
from dataclasses import dataclass

import testtools
import trio

from camphordrift.identifiers import RequestId
from camphordrift.telemetry import (
    DUMP_SIGNAL,
    STOP_SIGNALS,
    Decision,
    DecisionRecord,
    LogLevel,
    StateDump,
    call_on_stop_signal,
    dump_on_signal,
    render_dump,
)


@dataclass(frozen=True)
class Sample:
    """A snapshot with values of all supported types."""

    queue: tuple[int, ...]
    level: LogLevel
    parts: frozenset[str]
    fleet_key: str
    note: str
    ratio: float
    body: bytes


class StateDumpTest(testtools.TestCase):
    def test_renders_data_classes_without_secrets(self) -> None:
        dump = StateDump()
        sample = Sample(
            (1, 2), LogLevel.INFO, frozenset("ba"), "k", "cd-fleet-abc", float("inf"), b"123"
        )
        dump.register("sample", lambda: {("a", 1): sample})
        self.assertEqual(
            {
                "queue": [1, 2],
                "level": LogLevel.INFO.value,
                "parts": ["a", "b"],
                "fleet_key": "[redacted]",
                "note": "[redacted]",
                "ratio": "inf",
                "body": "3 bytes",
            },
            json.loads(render_dump(dump))["sample"]["('a', 1)"],
        )

    def test_failing_component_does_not_affect_the_others(self) -> None:
        dump = StateDump()
        dump.register("failing", lambda: 1 // 0)
        dump.register("working", lambda: 7)
        collected = dump.collect()
        self.assertIn("ZeroDivisionError", collected["failing"]["dump_failed"])
        self.assertEqual(7, collected["working"])

    def test_nesting_is_limited(self) -> None:
        loop: list[object] = []
        loop.append(loop)
        dump = StateDump()
        dump.register("loop", lambda: loop)
        self.assertIsInstance(json.loads(dump.render()), dict)

    def test_duplicate_name_raises_an_error(self) -> None:
        dump = StateDump()
        dump.register("members", dict)
        self.assertRaises(ValueError, dump.register, "members", dict)


class SignalsTest(testtools.TestCase):
    def test_dump_signal_writes_a_dump(self) -> None:
        dump = StateDump()
        dump.register("answer", lambda: 42)
        written: list[bytes] = []

        async def main() -> None:
            with trio.fail_after(30), trio.open_signal_receiver(DUMP_SIGNAL) as signals:
                async with trio.open_nursery() as nursery:

                    def write(content: bytes) -> None:
                        written.append(content)
                        nursery.cancel_scope.cancel()

                    nursery.start_soon(dump_on_signal, signals, dump, write)
                    os.kill(os.getpid(), DUMP_SIGNAL)

        trio.run(main)
        self.assertEqual({"answer": 42}, json.loads(written[0]))

    def test_stop_signal_calls_stop(self) -> None:
        stopped = trio.Event()

        async def main() -> None:
            with trio.fail_after(30), trio.open_signal_receiver(*STOP_SIGNALS) as signals:
                os.kill(os.getpid(), STOP_SIGNALS[0])
                await call_on_stop_signal(signals, stopped.set)

        trio.run(main)
        self.assertTrue(stopped.is_set())


class DecisionRecordTest(testtools.TestCase):
    def test_oldest_decisions_are_removed_at_capacity(self) -> None:
        record = DecisionRecord(capacity=2)
        for number in range(3):
            record.add(Decision(number, "routing", "grant", "why", RequestId(f"r{number}")))
        self.assertEqual([2, 1], [item.at_seconds for item in record.snapshot()])
        self.assertEqual(3, record.total)
        self.assertEqual((), record.for_request(RequestId("r0")))
        self.assertEqual(1, len(record.for_request(RequestId("r2"))))
