"""Self-signed certificates for the demo and for tests, not for production."""

import datetime
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass, field

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

#: How far validity begins before the current time, in seconds, to tolerate slow clocks.
CLOCK_SKEW_ALLOWANCE_SECONDS = 3600


@dataclass(frozen=True)
class CertificatePair:
    """A certificate and its private key, in PEM."""

    #: The certificate.
    certificate: bytes

    #: The private key, unencrypted.
    private_key: bytes = field(repr=False)


def make_self_signed_certificate(
    ip_addresses: Sequence[str], valid_days: int = 30
) -> CertificatePair:
    """Creates a self-signed certificate for ``ip_addresses``, valid for ``valid_days`` days.

    Raises ``ValueError`` if the list is empty or an element is not an IP address.
    """
    if not ip_addresses:
        raise ValueError("a certificate needs at least one IP address")
    alternative_names = [x509.IPAddress(ipaddress.ip_address(text)) for text in ip_addresses]
    private_key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"camphordrift {ip_addresses[0]}")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(private_key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(seconds=CLOCK_SKEW_ALLOWANCE_SECONDS))
        .not_valid_after(now + datetime.timedelta(days=valid_days))
        .add_extension(x509.SubjectAlternativeName(alternative_names), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(private_key, hashes.SHA256())
    )
    return CertificatePair(
        certificate.public_bytes(serialization.Encoding.PEM),
        private_key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
