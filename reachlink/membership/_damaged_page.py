"""Recovers the entries of a list page that is not valid JSON; does no I/O."""

import json
import re

_TOKEN = re.compile(r'"next_token"\s*:\s*(?:null|"([^"\\]*)")')
_decode_at = json.JSONDecoder().raw_decode


def entries_of(page: bytes) -> list[bytes]:
    """Return the outermost JSON objects in a page that can be decoded on their own.

    Bytes between them are skipped.

    Examples
    --------
    >>> entries_of(b'{"instances": [{"a": {"b": 1}}, {garbage, {"c": "}"}], "next_token": null}')
    [b'{"a": {"b": 1}}', b'{"c": "}"}']
    """
    # Invalid UTF-8 is kept as surrogates, so that only the entry that contains it fails
    # to decode.
    text = page.decode(errors="surrogateescape")
    found: list[bytes] = []
    at = text.find("{")
    while at >= 0:
        try:
            _, end = _decode_at(text, at)
        except ValueError:
            end = at + 1
        else:
            found.append(text[at:end].encode(errors="surrogateescape"))
        at = text.find("{", end)
    return found


def next_token_of(page: bytes) -> str | None:
    """Return the token of the next page, or None if there is none."""
    found = _TOKEN.search(page.decode(errors="replace"))
    return found.group(1) or None if found is not None else None
