"""Why no replica may get a request now, however long it waits."""

from enum import Enum


class Obstacle(Enum):
    """What stands in the way of a request; the value is its code in logs and metrics."""

    OUT_OF_SERVICE = "zones_out_of_service"
    HOME_OUT_OF_REACH = "home_regions_out_of_reach"
    CUT_OFF = "zone_cut_off"

    @property
    def come_back_in_s(self) -> float:
        """When a caller that is refused for it should come back, in seconds."""
        return _COME_BACK_IN_S[self]


# The balancer takes two of its questions, a second apart, to turn to other zones.
ELSEWHERE_AFTER_S = 1.2
# Zones come back by an operator's order, which takes up to a second to be in force
# everywhere. Sooner asks in vain; much later keeps callers away when it is over.
IN_SERVICE_AFTER_S = 2.0

_COME_BACK_IN_S = {
    Obstacle.OUT_OF_SERVICE: IN_SERVICE_AFTER_S,
    Obstacle.HOME_OUT_OF_REACH: ELSEWHERE_AFTER_S,
    Obstacle.CUT_OFF: ELSEWHERE_AFTER_S,
}
