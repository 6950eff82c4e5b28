"""Recovers the entries of a list page that is not valid JSON; does no I/O."""

import json
import re
from dataclasses import dataclass

_ENTRIES = re.compile(r'"instances"\s*:\s*\[')
_TOKEN = re.compile(r'"next_token"\s*:\s*(?:null|"([^"\\]*)")')
# What may stand between the outermost brackets of an entry: strings, which may contain brackets,
# and brackets.
_BRACKETS = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\]]', re.DOTALL)
_decode_at = json.JSONDecoder().raw_decode


@dataclass(slots=True, frozen=True)
class RecoveredPage:
    """JSON objects in the list of a page, valid or not, and the token of the next page or None."""

    entries: list[bytes]
    next_token: str | None


def recover_page(page: bytes) -> RecoveredPage:
    """Return what can be recovered from a page that is not valid JSON.

    Bytes between the objects of its list are skipped. An object within another one is returned
    only if the outer one has no end.

    Examples
    --------
    >>> recover_page(b'{"instances": [{"a": {"b": 1}}, {garbage, {"c": "}"}], "next_token": "t"}')
    RecoveredPage(entries=[b'{"a": {"b": 1}}', b'{"c": "}"}'], next_token='t')
    >>> recover_page(b'{"instances": [{"a": NaN}, {"b": 1}]}').entries
    [b'{"a": NaN}', b'{"b": 1}']
    """
    # Invalid UTF-8 is kept as surrogates, so that only the entry that contains it fails
    # to decode.
    text = page.decode(errors="surrogateescape")
    list_begin = _ENTRIES.search(text)
    begin = list_begin.end() if list_begin is not None else 0
    found: list[bytes] = []
    last_end = begin
    at = text.find("{", begin)
    while at >= 0:
        end = _end_of_object(text, at)
        if list_begin is not None and "]" not in text[end:]:
            # An object without its end, which has taken the end of the list for it.
            end = -1
        if end > at:
            found.append(text[at:end].encode(errors="surrogateescape"))
            last_end = end
        at = text.find("{", max(end, at + 1))
    # Entries may contain fields of this name, too.
    token = _TOKEN.search(text, last_end) or _TOKEN.search(text[:begin])
    return RecoveredPage(found, token.group(1) or None if token is not None else None)


def _end_of_object(text: str, at: int) -> int:
    """Return the end of the object that begins at a position; -1 if it has none."""
    try:
        return _decode_at(text, at)[1]
    except ValueError:
        return -1
    except RecursionError:
        return _end_of_nesting(text, at)


def _end_of_nesting(text: str, at: int) -> int:
    """Return the position behind the bracket that closes the one at `at`; -1 if none does."""
    depth = 0
    for bracket in _BRACKETS.finditer(text, at):
        if bracket.group() in "{[":
            depth += 1
        elif bracket.group() in "}]":
            depth -= 1
        if not depth:
            return bracket.end()
    return -1
