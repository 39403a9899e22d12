"""Tests of admission by the limits of client accounts."""

import testtools
import trio
from returns.pipeline import is_successful

from camphordrift.account_limits import LimiterSettings, account_limit_service
from camphordrift.configuration import AccountLimits, snapshot_of
from camphordrift.entry._limits_gate import LimitsGate
from camphordrift.identifiers import AccountId, Incarnation, VmId
from camphordrift.membership import MemberRecord, MembershipSettings, MembershipView
from camphordrift.peers import peer_network
from camphordrift.testing import run_in_virtual_time

ACCOUNT = AccountId("sellers")
VM = VmId("brno-a-1")


class FirstRequestsTest(testtools.TestCase):
    def test_burst_within_the_limit_is_admitted_from_its_first_request(self) -> None:
        async def main() -> int:
            network = peer_network(VM, Incarnation(1), [b"k" * 32])
            view = MembershipView(MemberRecord(VM, Incarnation(1)), MembershipSettings(), 0.0)
            settings = LimiterSettings()
            service = account_limit_service(VM, settings, view, network)
            gate = LimitsGate(service)
            limits = AccountLimits(ACCOUNT, 200.0, 2_000_000.0, 200)
            gate.configure(snapshot_of(1, 1, [limits]))
            admitted = 0
            async with trio.open_nursery() as nursery:
                await nursery.start(network.serve)
                nursery.start_soon(service.run)
                # The home VM coordinates the account's limits. A new home VM grants leases only
                # after those of an earlier home VM have expired.
                await trio.sleep(settings.lease_seconds + 1.0)
                for _ in range(40):
                    outcome = await gate.admit(ACCOUNT, 1_000, False)
                    admitted += is_successful(outcome)
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()
            return admitted

        self.assertEqual(40, run_in_virtual_time(main))
