"""Keys of client accounts, operators and fleets, and their hashes.

Keys are made by the program from 256 random bits, never chosen by people. That is why one round of
SHA-256 is enough to keep them by: there is no dictionary to try, and nobody can search 2**256 keys.
A slow hash (scrypt, Argon2) protects guessable passwords; here it would only take milliseconds of
the single event loop from every request.
"""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable
from enum import Enum
from typing import Optional

#: Random bytes of a key.
KEY_RANDOM_BYTES = 32

#: Longest text that is looked at as a key, in characters. Longer ones are wrong without hashing.
MAX_KEY_CHARACTERS = 200

_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")


class KeyKind(Enum):
    """Whom a key belongs to. The key begins with it, so that a stray key is recognized."""

    #: A client account; sent by its callers.
    ACCOUNT = "account"

    #: An operator; sent to the operators' port.
    OPERATOR = "operator"

    #: A fleet; VMs prove to each other that they belong to it.
    FLEET = "fleet"


def generate_key(kind: KeyKind) -> str:
    """Returns a new random key, such as ``cd-account-`` and 43 characters."""
    return f"cd-{kind.value}-{secrets.token_urlsafe(KEY_RANDOM_BYTES)}"


def hash_key(key: str) -> str:
    """Returns the form in which a key is kept: its SHA-256 in 64 lower-case hex digits."""
    return hashlib.sha256(key.encode("utf-8", errors="surrogatepass")).hexdigest()


def is_key_hash(text: str) -> bool:
    """Tells whether ``text`` has the form of ``hash_key``'s result."""
    return _HASH_PATTERN.fullmatch(text) is not None


def key_matches(key: str, accepted_hashes: Iterable[str]) -> bool:
    """Tells whether ``key`` has one of the hashes.

    All hashes are compared, each in constant time, so that the time taken does not tell which one
    came near.
    """
    if len(key) > MAX_KEY_CHARACTERS:
        return False
    own = hash_key(key).encode()
    matches = [hmac.compare_digest(own, accepted.encode()) for accepted in accepted_hashes]
    return any(matches)


def bearer_key(authorization: Optional[str]) -> Optional[str]:
    """Returns the key of an ``Authorization: Bearer ...`` header, or ``None`` if it has none."""
    if authorization is None:
        return None
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key or len(key) > MAX_KEY_CHARACTERS:
        return None
    return key if key.isascii() and key.isprintable() and " " not in key else None
