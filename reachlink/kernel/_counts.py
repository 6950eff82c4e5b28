"""Parsing of counts in messages from outside the system."""

# Maximum number of digits of a count; no valid size or time is longer.
MAX_COUNT_DIGITS = 12


def parse_count(text: str) -> int | None:
    """Parse a non-negative decimal integer; return None if it is invalid or too long.

    Examples
    --------
    >>> parse_count(" 3000 "), parse_count("-1"), parse_count("9" * 400)
    (3000, None, None)
    """
    text = text.strip()
    if len(text) > MAX_COUNT_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
