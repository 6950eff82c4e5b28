"""Patches yield exactly the newer document, or an error if they apply to another one."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.routing import (
    NATIVE_FORMAT,
    PatchMismatchError,
    PublishedTable,
    apply_patches,
    patch_between,
)

PARTS = st.lists(st.sampled_from(['{"a":1}', ',{"b":2}', ',{"c":{"d":3}}', "[", "]", "æ}"]))


def table(number: int, document: str) -> PublishedTable:
    return PublishedTable(number, NATIVE_FORMAT, document)


def table_of_routes(count: int, number: int) -> PublishedTable:
    objects = ",".join(f'{{"name":"r{i}","path":"/{i}/"}}' for i in range(count))
    return table(number, f'{{"number":{number},"routes":[{objects}]}}')


@settings(derandomize=True, max_examples=300)
@given(PARTS, PARTS)
def test_patch_yields_exactly_the_newer_document(old, new):
    before, after = table(1, "".join(old)), table(2, "".join(new))
    assert apply_patches(before, [patch_between(before, after)]) == after


@settings(derandomize=True, max_examples=300)
@given(PARTS, PARTS, PARTS)
def test_patch_on_another_document_yields_the_newer_one_or_an_error(old, new, other):
    before, after = table(1, "".join(old)), table(2, "".join(new))
    patch = patch_between(before, after)
    try:
        assert apply_patches(table(1, "".join(other)), [patch]) == after
    except PatchMismatchError:
        assert other != old


@settings(derandomize=True, max_examples=300)
@given(st.lists(PARTS, min_size=2, max_size=6))
def test_sequence_of_patches_yields_the_last_document(documents):
    tables = [table(number, "".join(parts)) for number, parts in enumerate(documents)]
    patches = [patch_between(a, b) for a, b in zip(tables, tables[1:], strict=False)]
    assert apply_patches(tables[0], patches) == tables[-1]


def test_sequence_with_a_missing_patch_is_rejected():
    tables = [table_of_routes(count, count) for count in range(1, 5)]
    patches = [patch_between(a, b) for a, b in zip(tables, tables[1:], strict=False)]
    with pytest.raises(PatchMismatchError):
        apply_patches(tables[0], [patches[0], patches[2]])


def test_patch_for_another_number_is_rejected():
    patch = patch_between(table_of_routes(3, 1), table_of_routes(4, 2))
    for current in (None, table_of_routes(3, 7)):
        with pytest.raises(PatchMismatchError):
            apply_patches(current, [patch])


def test_size_of_a_patch_depends_on_the_change_only():
    sizes = {
        count: patch_between(table_of_routes(count, 8), table_of_routes(count, 9)).size
        for count in (40, 10_000)
    }
    assert sizes[10_000] <= 1.5 * sizes[40] < 300


def test_moved_parts_are_kept():
    old = table(1, '{"a":1},{"b":2},{"c":3}')
    new = table(2, ',{"c":3},{"b":2}{"a":1}')
    patch = patch_between(old, new)
    assert apply_patches(old, [patch]) == new
    assert all(isinstance(part, tuple) for part in patch.parts)
