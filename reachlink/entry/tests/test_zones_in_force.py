"""Orders about zones at an entry instance."""

from structlog.testing import CapturingLogger

from reachlink.entry._zones_in_force import ZonesInForce
from reachlink.membership import ListedInstance, ReplicaDirectory
from reachlink.requests import Allocation, ReplicaTracker
from reachlink.settings import SettingsTree, ZoneOrder, zone_order_path


def tree(revision: int, **out_of_service: bool) -> SettingsTree:
    orders = {
        zone_order_path(zone): {
            "out_of_service": out,
            "revision": revision,
            "since": 1.0,
            "by": "op",
        }
        for zone, out in out_of_service.items()
    }
    return SettingsTree(orders, revision)


def test_a_zone_is_left_alone_at_once_and_told_empty_when_its_last_request_has_ended():
    directory, tracker, log = ReplicaDirectory(), ReplicaTracker(), CapturingLogger()
    directory.update([ListedInstance("r1", "chat", "a", "r1:1")], 0.0)
    zones = ZonesInForce(directory, tracker, log, lambda: 0.0)
    flight = Allocation("id-1", 100)
    tracker.add("r1", flight)
    zones.take(tree(3, a=True, b=True))
    assert directory.live("chat") == []
    told = [(call.args[0], call.kwargs.get("zone")) for call in log.calls]
    assert told == [("zones_out_of_service", None), ("zone_empty", "b")]
    assert log.calls[0].kwargs["running_there"] == 1
    tracker.notify_listeners()
    assert len(log.calls) == 2
    tracker.remove("r1", flight)
    assert log.calls[-1].kwargs == {"zone": "a"}
    zones.take(tree(4, a=False, b=True))
    assert [r.name for r in directory.live("chat")] == ["r1"]
    assert log.calls[-1].kwargs["back"] == "a"


def test_an_order_reads_back_as_it_was_given():
    order = tree(3, a=True).zone_orders["a"]
    assert order == ZoneOrder(True, 3, 1.0, "op")
