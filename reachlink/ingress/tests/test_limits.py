"""What all doors of a process may take together is there."""

import pytest

from reachlink.ingress import PROBE_LIMITS, caller_limits, peer_connections
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
