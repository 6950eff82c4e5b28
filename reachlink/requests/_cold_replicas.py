"""Excludes cold replicas that have reached their rate limit."""

from reachlink.requests._cold_rates import ColdRequestWindow, request_quota
from reachlink.requests._parts import RunnerParts
from reachlink.routing import Service


class ColdReplicaLimiter:
    """Determines which cold replicas may not get another request of this instance now.

    Parameters
    ----------
    parts : RunnerParts
        Provides the replicas, how long they are cold, and the instances that choose replicas.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._window = ColdRequestWindow()

    def at_limit(self, service: Service) -> list[str]:
        """Return the cold replicas of a service that have reached their rate limit."""
        sustained_per_s = service.cold_requests_per_s
        if not sustained_per_s:
            return []
        parts = self._parts
        now = parts.clock()
        live = parts.directory.live(service.name)
        cold = [r.name for r in live if parts.directory.cold_s(r.name, now)]
        if not cold:
            return []
        deciders = parts.deciders()
        coordinated = service.engine is not None
        quotas = {
            name: request_quota(name, sustained_per_s, deciders, coordinated) for name in cold
        }
        return [name for name in cold if not self._window.may_send(name, quotas[name], now)]

    def note_sent(self, replica: str) -> None:
        """Count a request that is about to be sent to a replica, if the replica is cold."""
        now = self._parts.clock()
        if self._parts.directory.cold_s(replica, now):
            self._window.note_sent(replica, now)
