"""Reasons why no replica may get a request, however long it waits."""

from enum import Enum


class Obstacle(Enum):
    """Reason why a request cannot be placed; the value is its code in logs and metrics."""

    OUT_OF_SERVICE = "zones_out_of_service"
    HOME_OUT_OF_REACH = "home_regions_out_of_reach"
    CUT_OFF = "zone_cut_off"

    @property
    def retry_after_s(self) -> float:
        """Time in seconds after which a refused caller should retry."""
        return _RETRY_AFTER_S[self]


# The load balancer needs two readiness checks, one second apart, to redirect callers to other
# zones.
OTHER_ZONE_RETRY_S = 1.2
# An operator's order puts a zone back into service and takes up to one second to reach every
# instance. Callers that retry sooner fail again; a much longer time keeps them away needlessly.
ZONE_IN_SERVICE_RETRY_S = 2.0

_RETRY_AFTER_S = {
    Obstacle.OUT_OF_SERVICE: ZONE_IN_SERVICE_RETRY_S,
    Obstacle.HOME_OUT_OF_REACH: OTHER_ZONE_RETRY_S,
    Obstacle.CUT_OFF: OTHER_ZONE_RETRY_S,
}
