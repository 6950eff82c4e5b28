"""The number of values of a text is found without what stands in its strings."""

import json

import pytest

from reachlink.ingress import FEW_JSON_VALUES, count_json_values
from reachlink.ingress._json_values import _WINDOW_BYTES

TEXT = 'a, b [c] {d} "e" \\ \\" \\\\'


def values_of(document) -> int:
    """Return the number of values, and of lists and objects once more."""
    if isinstance(document, dict):
        return 1 + max(1, sum(values_of(value) for value in document.values()))
    if isinstance(document, list):
        return 1 + max(1, sum(values_of(value) for value in document))
    return 1


@pytest.mark.parametrize(
    "document",
    [
        {"messages": [{"role": "user", "content": TEXT * 10_000}], "more": [1, [], {}]},
        [TEXT] * 5_000,
        [{TEXT: TEXT}, {}] * 3_000,
        ["x" * (_WINDOW_BYTES - 3), TEXT * 9_000, "\\"] * 2 + [[]] * (2 * FEW_JSON_VALUES),
    ],
    ids=["text", "strings", "objects", "windows"],
)
@pytest.mark.parametrize("ascii_only", [True, False])
def test_commas_and_brackets_in_strings_are_no_values(document, ascii_only):
    text = json.dumps(document, ensure_ascii=ascii_only).encode()
    found = count_json_values(text)
    assert len(json.dumps(document)) > FEW_JSON_VALUES
    assert values_of(document) / 2 <= found <= values_of(document)


def test_few_values_are_counted_at_once():
    assert count_json_values(b"{}") == 2
    assert count_json_values(b'{"a": [1, 2, 3]}') == 5
