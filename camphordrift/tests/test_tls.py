"""Tests of TLS on the ports for callers and operators, over real sockets."""

import ssl
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from camphordrift.backend_http import HttpCall, HttpConnections
from camphordrift.backend_servers import BackendError
from camphordrift.demo import DemoFleet, DemoPlan
from camphordrift.security import client_tls_context, make_self_signed_certificate
from camphordrift.settings import TlsFiles, TlsSettings
from camphordrift.tests.fleet_client import ACCOUNT_KEY, isolated_plan, run_with_fleet


def plan_with_tls(directory: Path) -> DemoPlan:
    """Returns a plan of one VM whose ports for callers and operators use TLS."""
    plan = isolated_plan(vm_count=1)
    entry = plan.entries[0]
    certificate_pair = make_self_signed_certificate([entry.listen.callers.host])
    files = TlsFiles(directory / "certificate.pem", directory / "key.pem")
    files.certificate_file.write_bytes(certificate_pair.certificate)
    files.private_key_file.write_bytes(certificate_pair.private_key)
    return replace(plan, entries=(replace(entry, tls=TlsSettings(files, files)),))


class TlsPortsTest(testtools.TestCase):
    def test_accept_tls_and_reject_plain_http(self) -> None:
        with TemporaryDirectory() as directory:
            plan = plan_with_tls(Path(directory))
            context: ssl.SSLContext = client_tls_context(
                Path(directory) / "certificate.pem"
            ).unwrap()

            async def test(fleet: DemoFleet, plain: HttpConnections) -> None:
                encrypted = HttpConnections(ssl_context=context)
                listen = fleet.plan.entries[0].listen
                headers = (("Authorization", f"Bearer {ACCOUNT_KEY}"),)
                for address, target in (
                    (listen.callers, "/v1/models"),
                    (listen.operators, "/ready"),
                ):
                    call = HttpCall("GET", f"https://{address}", target, b"", headers)
                    response = await encrypted.fetch(call, 10.0)
                    self.assertEqual(200, response.status)
                    unencrypted = HttpCall("GET", f"http://{address}", target, b"", headers)
                    with self.assertRaises(BackendError):
                        await plain.fetch(unencrypted, 10.0)
                await encrypted.close()

            run_with_fleet(test, plan)
