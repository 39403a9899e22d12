"""Tests of TLS contexts and self-signed certificates."""

import ssl
import tempfile
from pathlib import Path

import testtools

from camphordrift.security import (
    client_tls_context,
    make_self_signed_certificate,
    server_tls_context,
)
from camphordrift.settings import TlsFiles


def run_handshake(server: ssl.SSLContext, client: ssl.SSLContext, ip_address: str) -> None:
    """Runs a TLS handshake in memory; raises ``ssl.SSLError`` if it fails."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    server_end = server.wrap_bio(to_server, to_client, server_side=True)
    client_end = client.wrap_bio(to_client, to_server, server_hostname=ip_address)
    for _ in range(3):
        for end in (client_end, server_end):
            try:
                end.do_handshake()
            except ssl.SSLWantReadError:
                continue
    client_end.do_handshake()


class TlsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.files = TlsFiles(Path(directory.name) / "c.pem", Path(directory.name) / "k.pem")
        pair = make_self_signed_certificate(["127.0.10.1", "::1"])
        self.files.certificate_file.write_bytes(pair.certificate)
        self.files.private_key_file.write_bytes(pair.private_key)
        self.server = server_tls_context(self.files).unwrap()

    def test_client_that_trusts_the_certificate_connects(self) -> None:
        client = client_tls_context(self.files.certificate_file).unwrap()
        for ip_address in ("127.0.10.1", "::1"):
            run_handshake(self.server, client, ip_address)

    def test_other_ip_address_is_rejected(self) -> None:
        client = client_tls_context(self.files.certificate_file).unwrap()
        self.assertRaises(ssl.SSLError, run_handshake, self.server, client, "127.0.10.2")

    def test_untrusted_certificate_is_rejected(self) -> None:
        client = client_tls_context().unwrap()
        self.assertRaises(ssl.SSLError, run_handshake, self.server, client, "127.0.10.1")

    def test_missing_or_invalid_files(self) -> None:
        missing = TlsFiles(Path("/nonexistent"), self.files.private_key_file)
        self.assertIn("No such file", str(server_tls_context(missing).failure()))
        self.files.private_key_file.write_text("nothing", encoding="utf-8")
        self.assertIn("cannot be used for TLS", str(server_tls_context(self.files).failure()))
        self.assertIn("cannot be", str(client_tls_context(Path("/nonexistent")).failure()))

    def test_certificate_needs_ip_addresses(self) -> None:
        self.assertRaises(ValueError, make_self_signed_certificate, [])
        self.assertRaises(ValueError, make_self_signed_certificate, ["localhost"])
