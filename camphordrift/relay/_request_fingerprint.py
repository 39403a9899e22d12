"""Identifies requests that are the same: a caller may send one again, at any VM."""

import hashlib
from typing import Optional

from camphordrift.relay._http_server import CallerRequest
from camphordrift.relay._values import Account

#: Length of a fingerprint in bytes; requests that differ have different ones with near certainty.
FINGERPRINT_BYTES = 12


def fingerprint(request: CallerRequest, account: Optional[Account]) -> str:
    """Returns the same text for requests with the same method, host, path, account and body.

    Args:
        request: The request.
        account: Client account of the caller; ``None`` if the route needs no key.

    """
    name = b"" if account is None else account.name.encode()
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (request.method, request.header(b"host") or b"", request.target, name):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(request.body)
    return digest.hexdigest()
