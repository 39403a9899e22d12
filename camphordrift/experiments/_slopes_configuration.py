"""Measures memory, encoded size and CPU time of the configuration by its number of entries."""

from collections.abc import Iterator, Sequence

from returns.pipeline import is_successful

from camphordrift.configuration import (
    ConfigurationRecord,
    ConfigurationState,
    decide_record,
    decode_payload,
    encode_checkpoint,
    encode_record,
)
from camphordrift.experiments._slope_series import (
    Series,
    SeriesDefinition,
    allocated_bytes,
    cpu_seconds,
)
from camphordrift.experiments._slope_values import (
    account_records,
    engine_record,
    engine_records,
    replay_records,
    service_record,
)

_STATE = SeriesDefinition(
    "configuration_state_by_engines",
    "folded state of a service and its engines, one record each",
    "engines",
    "bytes",
)
_ACCOUNT_STATE = SeriesDefinition(
    "configuration_state_by_accounts",
    "folded state of client accounts, three records each: account, limits, policy",
    "accounts",
    "bytes",
)
_CHECKPOINT = SeriesDefinition(
    "checkpoint_bytes_by_engines",
    "encoded state, as in a checkpoint and as handed from VM to VM",
    "engines",
    "bytes",
)
_ACCOUNT_CHECKPOINT = SeriesDefinition(
    "checkpoint_bytes_by_accounts",
    "encoded state of client accounts, three records each",
    "accounts",
    "bytes",
)
_RECORD_BYTES = SeriesDefinition(
    "record_bytes_by_changes",
    "encoded record that changes so many engines at once",
    "changes in the record",
    "bytes",
)
_RECORD_CPU = SeriesDefinition(
    "record_cpu_by_engines",
    "decode one record that changes an engine and decide on it",
    "engines",
    "us CPU per record",
)
_SNAPSHOT_CPU = SeriesDefinition(
    "snapshot_cpu_by_engines",
    "make the snapshot that requests read, with its lists of engines; once for each change",
    "engines",
    "us CPU per change",
)
_SNAPSHOT_STATE = SeriesDefinition(
    "snapshot_state_by_engines",
    "the snapshot that requests read, besides the folded state",
    "engines",
    "bytes",
)
_ENCODE_CPU = SeriesDefinition(
    "checkpoint_cpu_by_engines",
    "encode a checkpoint and decode it again",
    "engines",
    "ms CPU per checkpoint",
)


def measure_configuration_by_engines(engine_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures the cost of state, checkpoint, record and snapshot by the number of engines."""
    return (
        _STATE.measure(engine_counts, lambda count: _state_bytes(engine_records(count))),
        _CHECKPOINT.measure(engine_counts, lambda count: _checkpoint_bytes(engine_records(count))),
        _RECORD_CPU.measure(engine_counts, _record_cost),
        _SNAPSHOT_CPU.measure(engine_counts, _snapshot_cost),
        _SNAPSHOT_STATE.measure(engine_counts, _snapshot_bytes),
        _ENCODE_CPU.measure(engine_counts, _checkpoint_cost),
    )


def measure_configuration_by_accounts(account_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures the size of state and checkpoint by the number of client accounts."""
    return (
        _ACCOUNT_STATE.measure(
            account_counts, lambda count: _state_bytes(_service_with_accounts(count))
        ),
        _ACCOUNT_CHECKPOINT.measure(
            account_counts, lambda count: _checkpoint_bytes(_service_with_accounts(count))
        ),
    )


def measure_record_bytes(change_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures the encoded size of a record by its number of changes."""

    def size(change_count: int) -> float:
        single = [engine_record(number, replaces=7) for number in range(change_count)]
        changes = tuple(change for record in single for change in record.changes)
        first = single[0]
        record = ConfigurationRecord(first.schema_version, first.author, first.note, changes)
        return float(len(encode_record(record)))

    return (_RECORD_BYTES.measure(change_counts, size),)


def _service_with_accounts(count: int) -> Iterator[ConfigurationRecord]:
    yield service_record()
    for number in range(count):
        yield from account_records(number)


def _state_bytes(records: Iterator[ConfigurationRecord]) -> float:
    # Records are decoded from bytes, as on a VM, so that they do not share string objects.
    encoded = [encode_record(record) for record in records]
    _, size = allocated_bytes(lambda: replay_records(_decoded(encoded)))
    return float(size)


def _decoded(encoded: Sequence[bytes]) -> Iterator[ConfigurationRecord]:
    for payload in encoded:
        record = decode_payload(payload).unwrap()
        assert isinstance(record, ConfigurationRecord)
        yield record


def _checkpoint_bytes(records: Iterator[ConfigurationRecord]) -> float:
    return float(len(encode_checkpoint(replay_records(records))))


def _record_cost(engine_count: int) -> float:
    state = replay_records(engine_records(engine_count))
    record = engine_record(engine_count // 2, replaces=engine_count // 2 + 2)
    payload = encode_record(record)

    def decode_and_decide() -> None:
        decoded = decode_payload(payload).unwrap()
        assert isinstance(decoded, ConfigurationRecord)
        decide_record(state, decoded)

    return cpu_seconds(decode_and_decide) * 1e6


def _snapshot_cost(engine_count: int) -> float:
    state = replay_records(engine_records(engine_count))
    return cpu_seconds(lambda: _use_snapshot(state)) * 1e6


def _snapshot_bytes(engine_count: int) -> float:
    state = replay_records(engine_records(engine_count))

    def build() -> object:
        snapshot = state.snapshot()
        snapshot.servers_of(next(iter(snapshot.services)))
        return snapshot

    return float(allocated_bytes(build)[1])


def _use_snapshot(state: ConfigurationState) -> None:
    snapshot = state.snapshot()
    snapshot.servers_of(next(iter(snapshot.services)))
    snapshot.engines()


def _checkpoint_cost(engine_count: int) -> float:
    state = replay_records(engine_records(engine_count))

    def encode_and_decode() -> None:
        if not is_successful(decode_payload(encode_checkpoint(state))):
            raise ValueError("the encoded checkpoint cannot be decoded")

    return cpu_seconds(encode_and_decode) * 1e3
