"""Certificates for the demo and for tests; a fleet in earnest brings its own."""

import datetime
import ipaddress
from collections.abc import Sequence
from dataclasses import dataclass, field

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

#: How long before now a certificate is valid, for clocks that are behind, in seconds.
CLOCK_ALLOWANCE_SECONDS = 3600


@dataclass(frozen=True)
class CertificatePair:
    """A certificate and its private key, in PEM."""

    #: The certificate.
    certificate: bytes

    #: The private key, not encrypted.
    private_key: bytes = field(repr=False)


def make_self_signed_certificate(
    ip_numbers: Sequence[str], valid_days: int = 30
) -> CertificatePair:
    """Makes a certificate for ``ip_numbers`` that is its own authority.

    Raises ``ValueError`` for an empty list or something that is not an IP number.
    """
    if not ip_numbers:
        raise ValueError("a certificate needs at least one IP number")
    addresses = [x509.IPAddress(ipaddress.ip_address(number)) for number in ip_numbers]
    private_key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"camphordrift {ip_numbers[0]}")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(private_key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(seconds=CLOCK_ALLOWANCE_SECONDS))
        .not_valid_after(now + datetime.timedelta(days=valid_days))
        .add_extension(x509.SubjectAlternativeName(addresses), critical=False)
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
