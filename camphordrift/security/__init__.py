"""Generates, hashes and verifies keys, and creates TLS contexts and certificates."""

from camphordrift.security._certificates import CertificatePair, make_self_signed_certificate
from camphordrift.security._fleet_keys import FleetKeys, KeyProblem, read_fleet_keys
from camphordrift.security._keys import (
    KeyKind,
    bearer_key,
    generate_key,
    hash_key,
    is_key_hash,
    key_matches,
)
from camphordrift.security._tls import client_tls_context, server_tls_context

__all__ = [
    "CertificatePair",
    "FleetKeys",
    "KeyKind",
    "KeyProblem",
    "bearer_key",
    "client_tls_context",
    "generate_key",
    "hash_key",
    "is_key_hash",
    "key_matches",
    "make_self_signed_certificate",
    "read_fleet_keys",
    "server_tls_context",
]
