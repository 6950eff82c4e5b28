"""Bearer keys: only their hashes are kept in the settings."""

import hashlib
import hmac
import secrets

_KEY_BYTES = 24


def new_key(prefix: str) -> str:
    """Return a new random key that starts with `prefix`."""
    return f"{prefix}-{secrets.token_urlsafe(_KEY_BYTES)}"


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key, in hex.

    Keys are random and long, so that a slow password hash would add nothing.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def key_matches(key: str, key_hash: str) -> bool:
    """Return whether a key has this hash, in constant time."""
    return hmac.compare_digest(hash_key(key), key_hash)
