"""Tests of encrypted ports, over real sockets."""

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
from camphordrift.tests.fleet_client import KEY, isolated_plan, run_with_fleet


def plan_with_tls(directory: Path) -> DemoPlan:
    """Returns a plan of one VM whose ports for callers and operators speak TLS."""
    plan = isolated_plan(vm_count=1)
    entry = plan.entries[0]
    pair = make_self_signed_certificate([entry.listen.callers.host])
    files = TlsFiles(directory / "certificate.pem", directory / "key.pem")
    files.certificate_file.write_bytes(pair.certificate)
    files.private_key_file.write_bytes(pair.private_key)
    return replace(plan, entries=(replace(entry, tls=TlsSettings(files, files)),))


class EncryptedPortsTest(testtools.TestCase):
    def test_speak_tls_and_nothing_else(self) -> None:
        with TemporaryDirectory() as directory:
            plan = plan_with_tls(Path(directory))
            context: ssl.SSLContext = client_tls_context(
                Path(directory) / "certificate.pem"
            ).unwrap()

            async def test(fleet: DemoFleet, plain: HttpConnections) -> None:
                encrypted = HttpConnections(ssl_context=context)
                listen = fleet.plan.entries[0].listen
                headers = (("Authorization", f"Bearer {KEY}"),)
                for address, target in (
                    (listen.callers, "/v1/models"),
                    (listen.operators, "/ready"),
                ):
                    call = HttpCall("GET", f"https://{address}", target, b"", headers)
                    answer = await encrypted.fetch(call, 10.0)
                    self.assertEqual(200, answer.status)
                    unencrypted = HttpCall("GET", f"http://{address}", target, b"", headers)
                    with self.assertRaises(BackendError):
                        await plain.fetch(unencrypted, 10.0)
                await encrypted.close()

            run_with_fleet(test, plan)
