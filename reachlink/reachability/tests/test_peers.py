"""Which peers are asked for a replica."""

from random import Random

from reachlink.reachability import RelayPeer, RelayPeers

REGIONS = {"a": "north", "b": "north", "c": "south"}


def peers(regions: dict[str, str] | None) -> RelayPeers:
    """Return the peers of an instance in zone a, one in each zone."""
    found = RelayPeers("a", lambda name: 0.0, Random(1), regions)
    found.update(RelayPeer(f"e-{zone}", f"10.0.0.{n}:1", zone) for n, zone in enumerate("abc"))
    return found


def names(found: RelayPeers, zone: str) -> list[str]:
    return [peer.name for peer in found.by_preference(zone, 0.0)]


def test_a_request_bound_to_a_region_passes_through_no_other_one():
    assert names(peers(REGIONS), "b") == ["e-b", "e-a"]
    assert names(peers(REGIONS), "c") == ["e-c"]


def test_a_peer_of_another_region_is_not_asked_although_it_has_reached_a_replica():
    found = peers(REGIONS)
    found.prefer("e-c", 0.0)
    assert names(found, "b") == ["e-b", "e-a"]


def test_all_peers_are_asked_where_no_regions_are_known():
    assert sorted(names(peers(None), "c")) == ["e-a", "e-b", "e-c"]
