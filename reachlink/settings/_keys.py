"""Bearer keys; the settings store only their hashes."""

import hashlib
import hmac
import secrets

_KEY_BYTES = 24


def new_key(prefix: str) -> str:
    """Return a new random key that starts with `prefix`."""
    return f"{prefix}-{secrets.token_urlsafe(_KEY_BYTES)}"


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of a key, in hex.

    Keys are long and random, so a slow password hash would not make them
    harder to guess. Bytes of a header field that are no UTF-8 are hashed as they came.
    """
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()


def key_matches(key: str, key_hash: str) -> bool:
    """Return whether a key has a given hash, comparing in constant time."""
    return hmac.compare_digest(hash_key(key), key_hash)
