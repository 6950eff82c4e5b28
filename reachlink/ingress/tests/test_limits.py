"""What all doors of a process may take together is there."""

import pytest

from reachlink.ingress import PROBE_LIMITS, caller_limits, machine_memory_mb, peer_connections
from reachlink.reachability._relay_server import MAX_UNCLAIMED

# Files, listeners and connections to control instances of a process that serves nobody.
OWN_DESCRIPTORS = 64


@pytest.mark.parametrize("descriptors", [1_000, 2_000, 4_100])
def test_callers_their_replicas_peers_and_probes_fit_into_the_descriptors(descriptors):
    callers = caller_limits(128.0, descriptors).max_connections
    probes = 2 * PROBE_LIMITS.max_connections
    others = peer_connections(descriptors) + probes + MAX_UNCLAIMED + OWN_DESCRIPTORS
    # A call takes a connection of its caller, and one to a replica.
    assert 2 * callers + others <= descriptors


@pytest.mark.parametrize(
    "limits,expected_mb", [({"": 512}, 512), ({"a": 300, "a/b": 400}, 300), ({"a/b": 200}, 200)]
)
def test_the_memory_is_what_the_control_groups_leave(tmp_path, limits, expected_mb):
    own = tmp_path / "own"
    own.write_text("1:name=x:/\n0::/a/b\n")
    groups = tmp_path / "groups"
    (groups / "a" / "b").mkdir(parents=True)
    for group in ("", "a", "a/b"):
        limit = limits.get(group)
        text = "max" if limit is None else str(limit << 20)
        (groups / group / "memory.max").write_text(f"{text}\n")
    assert machine_memory_mb(groups, own) == expected_mb


def test_the_memory_is_that_of_the_machine_without_control_groups(tmp_path):
    assert machine_memory_mb(tmp_path, tmp_path / "none") == machine_memory_mb(tmp_path)
