"""Tests of inheritance, validation, edits and documents."""

import pytest

from reachlink.settings import (
    Change,
    InvalidSettingsError,
    SettingsTree,
    UnknownPathError,
    diff_values,
    from_document,
    hash_key,
    parse_path,
    to_document,
)

VALUES = {
    "defaults.limits.concurrent": 10,
    "sites.sal-en.region": "ost",
    "services.explain.kind": "model",
    "services.explain.limits.concurrent": 20,
    "services.explain.sites.sal-en.limits.concurrent": 30,
    "services.explain.workspaces.w1.limits.concurrent": 40,
    "services.explain.workspaces.w1.sites.sal-en.limits.concurrent": 50,
    "workspaces.w1.key_hashes": [hash_key("one")],
    "workspaces.w2.key_hashes": [hash_key("two")],
}


@pytest.mark.parametrize(
    ("service", "workspace", "site", "expected"),
    [
        ("", "", "", 10),
        ("other", "", "", 10),
        ("explain", "", "", 20),
        ("explain", "w2", "sal-to", 20),
        ("explain", "w2", "sal-en", 30),
        ("explain", "w1", "sal-to", 40),
        ("explain", "w1", "sal-en", 50),
    ],
)
def test_lower_level_overrides_higher(service, workspace, site, expected):
    tree = SettingsTree(VALUES, 1)
    assert tree.policy(service, workspace, site).concurrent == expected
    assert tree.explain(service, workspace, site, "limits.concurrent").value == expected


def test_explain_names_the_source():
    tree = SettingsTree(VALUES, 1)
    path = "services.explain.workspaces.w1.sites.sal-to.limits.concurrent"
    assert tree.explain_path(path).path == "services.explain.workspaces.w1.limits.concurrent"
    assert tree.explain_path("services.explain.priority").path == "built-in default"


def test_unset_restores_the_inherited_value():
    tree = SettingsTree(VALUES, 1)
    changed = tree.edited([Change("services.explain.limits.concurrent", unset=True)], 2)
    assert changed.policy("explain", "", "").concurrent == 10


@pytest.mark.parametrize(
    ("path", "hint"),
    [
        ("default.priority", "did you mean 'defaults'"),
        ("defaults.prioritty", "did you mean 'priority'"),
        ("services.a b.priority", "not a valid name"),
        ("defaults.key_hashes", "cannot stand here"),
        ("defaults", "not a path"),
    ],
)
def test_unknown_path_error_states_the_cause(path, hint):
    with pytest.raises(UnknownPathError, match=hint):
        parse_path(path)


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("defaults.priority", 11, "<= 9"),
        ("defaults.priority", "high", "Expected `int`"),
        ("services.nothing.workspaces.w1.priority", 1, "no service 'nothing'"),
        ("services.explain.workspaces.w9.priority", 1, "no workspace 'w9'"),
        ("services.explain.sites.sal-nix.priority", 1, "no site 'sal-nix'"),
        ("workspaces.w2.key_hashes", [hash_key("one")], "has a key that"),
    ],
)
def test_invalid_values_are_rejected_with_their_path(path, value, message):
    with pytest.raises(InvalidSettingsError, match=message) as caught:
        SettingsTree(VALUES, 1).edited([Change(path, value)], 2)
    assert path in {p.path for p in caught.value.problems}


def test_document_round_trip():
    assert from_document(to_document(VALUES)) == VALUES


def test_diff_turns_old_values_into_new_ones():
    new = {**VALUES, "defaults.priority": 7}
    del new["sites.sal-en.region"]
    tree = SettingsTree(VALUES, 1).with_changes(diff_values(VALUES, new), 2)
    assert dict(tree.values) == new


def test_cache_of_resolved_policies_is_bounded():
    tree = SettingsTree(VALUES, 1)
    for i in range(5000):
        tree.policy("explain", f"w{i}", "sal-en")
    assert len(tree._policies) <= 512
