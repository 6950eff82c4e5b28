"""Replicas that this instance can reach, and reasons why a request finds none."""

from collections.abc import Set

from reachlink.requests._model import CallerRequest
from reachlink.requests._obstacles import Obstacle
from reachlink.requests._parts import RunnerParts
from reachlink.upstreams import Replica

# How long a zone is excluded after one of its replicas could not be reached, in seconds.
# With this, a network partition costs each request at most one failed attempt.
ZONE_EXCLUSION_S = 1.0


class ReachableReplicas:
    """Determines the reachable replicas; excludes those of zones that seem partitioned.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._excluded_until: dict[str, float] = {}

    def is_near(self, replica: Replica) -> bool:
        """Return whether a replica is in this instance's zone."""
        return replica.availability_zone == self._parts.zone

    def live(self, service: str, now: float) -> list[Replica]:
        """Return the live replicas of a service outside the zones that seem partitioned."""
        live = self._parts.directory.live(service)
        self._excluded_until = {
            zone: until for zone, until in self._excluded_until.items() if until > now
        }
        if self._parts.cut_off():
            return [r for r in live if self.is_near(r)]
        # A request on a persistent connection across a partition would fail only at its
        # caller's timeout.
        away = self._excluded_until.keys() | self._parts.silent_zones()
        return [r for r in live if r.availability_zone not in away]

    def none_reachable(self, service: str) -> bool:
        """Return whether this zone is partitioned and has no replica of a service."""
        if not self._parts.cut_off():
            return False
        return not any(self.is_near(r) for r in self._parts.directory.live(service))

    def note_unreachable(self, replica: Replica) -> None:
        """Record that the connection to a replica failed: its zone may be partitioned."""
        if not self.is_near(replica):
            self._excluded_until[replica.availability_zone] = self._parts.clock() + ZONE_EXCLUSION_S

    def obstacle(self, request: CallerRequest) -> Obstacle | None:
        """Return why no replica may get the request however long it waits, if that is so.

        Returns None before the first list of replicas, when this is unknown.
        """
        if not self._parts.directory.is_whole:
            return None
        service = request.service.name
        if self._all_out_of_service(service):
            return Obstacle.OUT_OF_SERVICE
        if request.zones is not None and not self._reaches_any(service, request.zones):
            return Obstacle.HOME_OUT_OF_REACH
        return Obstacle.CUT_OFF if self.none_reachable(service) else None

    def _all_out_of_service(self, service: str) -> bool:
        """Return whether a service has replicas, all of them in zones out of service."""
        directory = self._parts.directory
        return not directory.live(service) and bool(directory.staying(service))

    def _reaches_any(self, service: str, zones: Set[str]) -> bool:
        """Return whether a replica of a service is reachable in one of the given zones."""
        reachable = self.live(service, self._parts.clock())
        return any(replica.availability_zone in zones for replica in reachable)
