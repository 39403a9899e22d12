"""What requests may have in common on which servers may crash.

A trait is the id of a part of the prompt, which different requests may share, or stands for the
whole request, which a caller may send again, at any VM.
"""

import hashlib
from typing import Optional

from camphordrift.relay.connections import CallerRequest
from camphordrift.relay.model import Account

#: Prefix of the traits of whole requests. Ids of parts of prompts have no colon.
_WHOLE_REQUEST_PREFIX = "request:"

#: Length of a digest in bytes; requests that differ have different ones with near certainty.
_DIGEST_BYTES = 12


def whole_request_trait(request: CallerRequest, account: Optional[Account]) -> str:
    """Returns the same trait for requests with the same method, host, path, account and body.

    Args:
        request: The request.
        account: Client account of the caller; ``None`` if the route needs no key.

    """
    name = b"" if account is None else account.name.encode()
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (request.method, request.header(b"host") or b"", request.target, name):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(request.body)
    return _WHOLE_REQUEST_PREFIX + digest.hexdigest()


def is_whole_request(trait: str) -> bool:
    """Returns whether a trait stands for a whole request, so that no two requests have it."""
    return trait.startswith(_WHOLE_REQUEST_PREFIX)
