"""Tests of querying owners for their claims."""

from typing import Any, Optional

import testtools
import trio
from returns import result

from camphordrift import results
from camphordrift.clocks import ClockReading
from camphordrift.engine_memory import (
    HoldRegistry,
    HoldSettings,
    OwnerInquiry,
    OwnerMissing,
    OwnerResponded,
    OwnerUnreachable,
)
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId, VmId
from camphordrift.peers import PeerIdentity, RequestHandler
from camphordrift.results import Failure, ResultCode
from camphordrift.testing import run_in_virtual_time

_FIRST, _SECOND = VmId("vm-1"), VmId("vm-2")
_FAR_FUTURE = ClockReading(monotonic=1e9, wall=1e9)


class _Peers:
    """Passes requests between two VMs; a VM in ``unreachable`` does not respond."""

    def __init__(
        self, handlers: dict[VmId, RequestHandler], own: VmId, unreachable: set[VmId]
    ) -> None:
        self._handlers = handlers
        self._own = own
        self._unreachable = unreachable

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        assert name is not None and name.startswith("engine_memory.")

    def register(self, message_type: type, handler: RequestHandler) -> None:
        self._handlers[self._own] = handler

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, results.Failure]:
        await trio.sleep(0.01)
        if vm_id in self._unreachable or vm_id not in self._handlers:
            return result.Failure(Failure(ResultCode.PEER_UNREACHABLE, "no response"))
        sender: Any = PeerIdentity
        return await self._handlers[vm_id](sender, message)


class _Pair:
    def __init__(self) -> None:
        self.handlers: dict[VmId, RequestHandler] = {}
        self.unreachable: set[VmId] = set()
        self.listed = {_FIRST, _SECOND}
        self.registries = {
            vm: HoldRegistry(Incarnation(number + 1), HoldSettings())
            for number, vm in enumerate((_FIRST, _SECOND))
        }
        self.inquiries = {vm: self._inquiry(vm) for vm in (_FIRST, _SECOND)}

    def _inquiry(self, vm: VmId) -> OwnerInquiry:
        peers = _Peers(self.handlers, vm, self.unreachable)
        return OwnerInquiry(
            peers, vm, self.registries[vm], lambda other: other in self.listed, HoldSettings()
        )


class OwnerInquiryTest(testtools.TestCase):
    def test_an_owner_returns_its_claims_to_itself_and_to_others(self) -> None:
        async def main() -> None:
            pair = _Pair()
            hold = HoldId("hold-1")
            engine, request = BackendServerId("engine-1"), RequestId("request-1")
            pair.registries[_SECOND].claim(hold, engine, request, _FAR_FUTURE)
            for querying in (_FIRST, _SECOND):
                queried_at = trio.current_time()
                response = await pair.inquiries[querying].query_owner(_SECOND)
                expected = OwnerResponded(Incarnation(2), frozenset({hold}), asked_at=queried_at)
                self.assertEqual(expected, response)

        run_in_virtual_time(main)

    def test_an_unresponsive_owner_is_missing_only_if_it_is_not_listed(self) -> None:
        async def main() -> None:
            pair = _Pair()
            querying = pair.inquiries[_FIRST]
            pair.unreachable.add(_SECOND)
            self.assertEqual(OwnerUnreachable(), await querying.query_owner(_SECOND))
            pair.listed.discard(_SECOND)
            self.assertEqual(OwnerMissing(0.0), await querying.query_owner(_SECOND))
            await trio.sleep(12.0)
            later = await querying.query_owner(_SECOND)
            assert isinstance(later, OwnerMissing)
            self.assertTrue(later.missing_seconds >= 12.0)
            pair.listed.add(_SECOND)
            self.assertEqual(OwnerUnreachable(), await querying.query_owner(_SECOND))
            pair.listed.discard(_SECOND)
            self.assertEqual(OwnerMissing(0.0), await querying.query_owner(_SECOND))

        run_in_virtual_time(main)
