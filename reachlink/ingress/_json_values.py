"""How many values a JSON text has: decoded, short ones take much more than their text."""

# Largest number of values of a request body. Ordinary ones have a few for each message.
MAX_JSON_VALUES = 1 << 17
# Memory that a decoded value takes in bytes, beside its text.
JSON_VALUE_BYTES = 128
# Number of values up to which what they take is not worth counting.
FEW_JSON_VALUES = 100

# Each value begins a list or an object, or follows a comma, but for the first one.
_BEGINNINGS = (b",", b"[", b"{")
# Bytes that are looked at together, which bounds the memory that counting takes.
_WINDOW_BYTES = 64 << 10


def count_json_values(text: bytes) -> int:
    """Return the number of values of a JSON text, or somewhat more.

    Parameters
    ----------
    text : bytes
        The text; whether it is valid does not matter.

    Examples
    --------
    >>> count_json_values(b"[1, 2, {}]")
    5
    """
    found = _count(text)
    if found <= FEW_JSON_VALUES:
        return found
    # What looks like a value may stand within a string. Without escapes every quote ends one.
    plain = text.replace(b"\\\\", b"").replace(b'\\"', b"")
    found, in_string = 1, False
    for start in range(0, len(plain), _WINDOW_BYTES):
        parts = plain[start : start + _WINDOW_BYTES].split(b'"')
        found += _count(b"".join(parts[in_string::2])) - 1
        in_string ^= len(parts) % 2 == 0
    return found


def _count(text: bytes) -> int:
    return 1 + sum(text.count(sign) for sign in _BEGINNINGS)
