"""TLS contexts for the listening ports and for client connections."""

import ssl
from pathlib import Path
from typing import Optional

from returns.result import Failure, Result, Success

from camphordrift.security._fleet_keys import KeyProblem
from camphordrift.settings import TlsFiles

#: Protocols offered by ALPN, in order of preference.
ALPN_PROTOCOLS = ("h2", "http/1.1")


def server_tls_context(files: TlsFiles) -> Result[ssl.SSLContext, KeyProblem]:
    """Creates the context of a port that serves HTTP to callers or operators."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(list(ALPN_PROTOCOLS))
    try:
        context.load_cert_chain(files.certificate_file, files.private_key_file)
    except (OSError, ssl.SSLError) as error:
        source = f"{files.certificate_file} and {files.private_key_file}"
        return Failure(KeyProblem(source, _problem_detail(error)))
    return Success(context)


def client_tls_context(
    authorities_file: Optional[Path] = None,
) -> Result[ssl.SSLContext, KeyProblem]:
    """Creates the context of connections to backend servers, the platform or an operators' port.

    Certificates and their IP addresses are always verified. Without a file, the system's
    certificate authorities are trusted.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        if authorities_file is None:
            context.load_default_certs()
        else:
            context.load_verify_locations(authorities_file)
    except (OSError, ssl.SSLError) as error:
        return Failure(KeyProblem(str(authorities_file), _problem_detail(error)))
    return Success(context)


def _problem_detail(error: Exception) -> str:
    reason = getattr(error, "reason", None) or getattr(error, "strerror", None) or str(error)
    return f"cannot be used for TLS: {reason}"
