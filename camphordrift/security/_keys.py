"""Keys of client accounts, operators and fleets, and their hashes.

Keys are generated from 256 random bits, never chosen by people. One round of SHA-256 is therefore
sufficient for storing them: a dictionary attack is impossible, and 2**256 keys cannot be searched.
A slow hash (scrypt, Argon2) protects guessable passwords; here it would only block the single event
loop for milliseconds on every request.
"""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable
from enum import Enum
from typing import Optional

#: Number of random bytes in a key.
KEY_RANDOM_BYTES = 32

#: Maximum length of a key, in characters. Longer texts are rejected without being hashed.
MAX_KEY_CHARACTERS = 200

_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")


class KeyKind(Enum):
    """Kind of a key's owner. It is part of the key, so that leaked keys can be recognized."""

    #: A client account; its callers send the key.
    ACCOUNT = "account"

    #: An operator, who sends the key to the operators' port.
    OPERATOR = "operator"

    #: A fleet, whose VMs authenticate to each other with the key.
    FLEET = "fleet"


def generate_key(kind: KeyKind) -> str:
    """Returns a new random key, such as ``cd-account-`` and 43 characters."""
    return f"cd-{kind.value}-{secrets.token_urlsafe(KEY_RANDOM_BYTES)}"


def hash_key(key: str) -> str:
    """Returns the form in which a key is stored: its SHA-256 in 64 lower-case hex digits."""
    return hashlib.sha256(key.encode("utf-8", errors="surrogatepass")).hexdigest()


def is_key_hash(text: str) -> bool:
    """Returns whether ``text`` has the form of ``hash_key``'s result."""
    return _HASH_PATTERN.fullmatch(text) is not None


def key_matches(key: str, accepted_hashes: Iterable[str]) -> bool:
    """Returns whether the hash of ``key`` is one of ``accepted_hashes``.

    Every hash is compared in constant time, and all are compared, so that timing reveals nothing
    about the hashes.
    """
    if len(key) > MAX_KEY_CHARACTERS:
        return False
    key_hash = hash_key(key).encode()
    matches = [hmac.compare_digest(key_hash, accepted.encode()) for accepted in accepted_hashes]
    return any(matches)


def bearer_key(authorization: Optional[str]) -> Optional[str]:
    """Returns the key of an ``Authorization: Bearer ...`` header; ``None`` if it is invalid."""
    if authorization is None:
        return None
    scheme, _, key = authorization.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key or len(key) > MAX_KEY_CHARACTERS:
        return None
    return key if key.isascii() and key.isprintable() and " " not in key else None
