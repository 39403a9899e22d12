"""Stateful test of replicas of one log: versions never decrease and all reach the same state."""

from typing import Optional

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from camphordrift.configuration import (
    ConfigurationReplica,
    EntryKey,
    PeerStateOutcome,
    RecordKind,
    encode_checkpoint,
    encode_record,
)
from camphordrift.configuration.tests.samples import model_service, raw_change, record
from camphordrift.platform_log import FollowedRecord, LogGap, RecordId

_VMS = st.integers(min_value=0, max_value=2)
_NAMES = st.sampled_from(["a", "b"])


class _Vm:
    """A replica and the next offset that it reads."""

    def __init__(self, schema_version: int) -> None:
        self.schema_version = schema_version
        self.replica = ConfigurationReplica(schema_version)
        self.next_offset = 0

    @property
    def version(self) -> int:
        return self.replica.state.version

    def read(self, log: list[bytes], first_offset: int, count: int) -> None:
        if self.next_offset < first_offset:
            self.replica.on_truncated(LogGap(self.next_offset, first_offset))
            self.next_offset = first_offset
        for payload in log[self.next_offset : self.next_offset + count]:
            record_id = RecordId(self.next_offset.to_bytes(16, "big"))
            followed = FollowedRecord(self.next_offset, record_id, "vm", payload, 0.0)
            self.next_offset += 1
            self.replica.on_record(followed)


class ReplicaMachine(RuleBasedStateMachine):
    """Publishes, reads, truncates, sends states and restarts VMs in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.first_offset = 0
        self.vms = [_Vm(2), _Vm(2), _Vm(1)]
        self.reference = _Vm(2)
        self.contents: dict[int, bytes] = {}
        self.versions = [0, 0, 0]
        self.old_state: Optional[bytes] = None

    @rule(name=_NAMES, seconds=st.integers(1, 9), schema=st.integers(1, 2), stale=st.booleans())
    def publish(self, name: str, seconds: int, schema: int, stale: bool) -> None:
        state = self.reference.replica.state
        replaces = state.version_of(EntryKey(RecordKind.SERVICE, name))
        value = model_service(default_timeout_seconds=seconds)
        change = raw_change("service", name, max(0, replaces - stale), value)
        self._append(encode_record(record(change, schema_version=schema)))

    @rule()
    def publish_undecodable_record(self) -> None:
        self._append(b"\xc1")

    @rule(vm=_VMS)
    def append_checkpoint(self, vm: int) -> None:
        replica = self.vms[vm].replica
        if replica.block is None and replica.state.version:
            self._append(encode_checkpoint(replica.state))

    @rule(vm=_VMS, count=st.integers(1, 8))
    def read(self, vm: int, count: int) -> None:
        self.vms[vm].read(self.log, self.first_offset, count)

    @rule(offset=st.integers(1, 30))
    def truncate(self, offset: int) -> None:
        self.first_offset = max(self.first_offset, min(offset, len(self.log)))

    @rule(origin=_VMS, receiver=_VMS)
    def deliver_state(self, origin: int, receiver: int) -> None:
        encoded = self.vms[origin].replica.encoded_state()
        if encoded is not None:
            self._deliver(receiver, encoded)
            self.old_state = self.old_state or encoded

    @precondition(lambda self: self.old_state is not None)
    @rule(receiver=_VMS)
    def deliver_state_late(self, receiver: int) -> None:
        assert self.old_state is not None
        self._deliver(receiver, self.old_state)

    @rule(vm=_VMS)
    def restart(self, vm: int) -> None:
        self.vms[vm] = _Vm(self.vms[vm].schema_version)
        self.versions[vm] = 0

    @invariant()
    def versions_never_decrease_and_equal_versions_are_equal(self) -> None:
        for number, vm in enumerate(self.vms):
            vm.replica.check_invariants()
            assert vm.version >= self.versions[number]
            self.versions[number] = vm.version
            if vm.version:
                assert _content(vm) == self.contents[vm.version]

    def teardown(self) -> None:
        """Asserts that the complete state brings every VM that can read it up to date."""
        for vm in self.vms:
            encoded = self.reference.replica.encoded_state()
            if encoded is None:
                continue
            outcome = vm.replica.on_peer_state(encoded)
            if outcome is PeerStateOutcome.UNREADABLE:
                assert vm.schema_version == 1
                assert vm.replica.block is None or vm.replica.is_behind_a_peer
                continue
            assert vm.version == self.reference.version
            vm.replica.check_invariants()

    def _append(self, payload: bytes) -> None:
        self.log.append(payload)
        self.reference.read(self.log, 0, 1)
        if self.reference.version:
            self.contents[self.reference.version] = _content(self.reference)

    def _deliver(self, receiver: int, encoded: bytes) -> None:
        vm = self.vms[receiver]
        before = vm.replica.state.offset
        outcome = vm.replica.on_peer_state(encoded)
        assert (outcome is PeerStateOutcome.ADOPTED) == (vm.replica.state.offset > before)
        if vm.replica.block is None:
            vm.next_offset = max(vm.next_offset, vm.replica.state.offset)


def _content(vm: _Vm) -> bytes:
    entries = sorted(vm.replica.state.entries.values(), key=lambda entry: str(entry.key))
    values = [sorted(entry.value.raw.items()) if entry.value else None for entry in entries]
    shown = [(entry.key, entry.version, entry.schema_version) for entry in entries]
    return repr((shown, values)).encode()


ReplicaMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)


ReplicaMachineTest = ReplicaMachine.TestCase
