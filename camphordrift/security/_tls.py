"""TLS contexts of the processes."""

import ssl
from pathlib import Path
from typing import Optional

from returns.result import Failure, Result, Success

from camphordrift.security._fleet_keys import KeyProblem
from camphordrift.settings import TlsFiles

#: Application protocols offered to callers, most wanted first.
CALLER_PROTOCOLS = ("h2", "http/1.1")


def server_tls_context(files: TlsFiles) -> Result[ssl.SSLContext, KeyProblem]:
    """Makes the context of a port that serves HTTP, for callers or operators."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(list(CALLER_PROTOCOLS))
    try:
        context.load_cert_chain(files.certificate_file, files.private_key_file)
    except (OSError, ssl.SSLError) as error:
        source = f"{files.certificate_file} and {files.private_key_file}"
        return Failure(KeyProblem(source, _reason(error)))
    return Success(context)


def client_tls_context(
    authorities_file: Optional[Path] = None,
) -> Result[ssl.SSLContext, KeyProblem]:
    """Makes the context of connections to backend servers or the platform.

    Certificates and the IP numbers in them are always checked. Without a file the system's
    authorities count.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        if authorities_file is None:
            context.load_default_certs()
        else:
            context.load_verify_locations(authorities_file)
    except (OSError, ssl.SSLError) as error:
        return Failure(KeyProblem(str(authorities_file), _reason(error)))
    return Success(context)


def _reason(error: Exception) -> str:
    reason = getattr(error, "reason", None) or getattr(error, "strerror", None) or str(error)
    return f"cannot be used for TLS: {reason}"
