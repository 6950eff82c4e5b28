"""Load and health of replicas as input for the choice among them."""

from reachlink.placement import allowances
from reachlink.requests._load_updates import sum_usages
from reachlink.requests._parts import RunnerParts
from reachlink.requests._reachable_replicas import ReachableReplicas
from reachlink.requests._replica_tracker import ReplicaState
from reachlink.routing import Service
from reachlink.scheduling import Pace, ReplicaOption
from reachlink.upstreams import Replica

# Maximum number of replicas in a log line, at about 60 bytes each.
MAX_DESCRIBED = 8


class ReplicaOptions:
    """Collects the load and health of each replica that a request could be sent to.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    reachable : ReachableReplicas
        Determines which replicas are reachable.
    """

    def __init__(self, parts: RunnerParts, reachable: ReachableReplicas) -> None:
        self._parts = parts
        self._reachable = reachable

    def for_service(
        self, service: Service, excluded: set[str], zone: str = ""
    ) -> list[ReplicaOption]:
        """Return the load and health of the reachable replicas of a service.

        Parameters
        ----------
        service : Service
            Service whose replicas are returned.
        excluded : set of str
            Names of replicas to leave out.
        zone : str
            Availability zone whose replicas count as near; if empty, this instance's zone.
        """
        parts = self._parts
        now = parts.clock()
        live = [r for r in self._reachable.live(service.name, now) if r.name not in excluded]
        states = {r.name: parts.tracker.state(r.name) for r in live}
        from_coordinator = {
            name: state.allowance_from_coordinator(now) for name, state in states.items()
        }
        trust = allowances({name: s.health for name, s in states.items()}, now, from_coordinator)
        near = zone or parts.zone
        return [self._option(service, r, states[r.name], trust[r.name], near, now) for r in live]

    def describe(self, service: Service, excluded: set[str]) -> str:
        """Return the state of the least loaded replicas of a service as text for a log line."""
        options = sorted(self.for_service(service, excluded), key=lambda o: (o.tokens, o.running))
        shown = " ".join(
            f"{o.name}:{o.tokens}:{o.used_tokens}+{o.copy_tokens}"
            f":{o.reported_tokens}/{o.capacity_tokens}"
            f":{o.running}:{o.unread_tokens}:{o.allowance:.1f}"
            for o in options[:MAX_DESCRIBED]
        )
        return (
            shown
            if len(options) <= MAX_DESCRIBED
            else f"{shown} and {len(options) - MAX_DESCRIBED} more"
        )

    def _option(
        self,
        service: Service,
        replica: Replica,
        state: ReplicaState,
        trust: float,
        near: str,
        now: float,
    ) -> ReplicaOption:
        engine = service.engine
        all_shares = self._parts.peer_load.usage_at(replica.name, now)
        if state.allocations:
            all_shares = sum_usages([all_shares, state.usage(replica.name, now)])
        sampled = state.sample.slots if state.sample else 0
        copies = all_shares.copy_tokens
        reported = state.reported_tokens(now)
        return ReplicaOption(
            name=replica.name,
            same_zone=replica.availability_zone == near,
            running=state.running(now, all_shares.running),
            slots=engine.slots if engine else sampled,
            tokens=max(all_shares.tokens, reported - copies),
            used_tokens=max(all_shares.used_tokens, reported - copies),
            copy_tokens=copies,
            reported_tokens=reported,
            pending_transfers=all_shares.pending_transfers,
            unread_tokens=all_shares.unread_tokens,
            capacity_tokens=engine.kv_capacity_tokens if engine else 0,
            allowance=trust,
            resumes_in_s=all_shares.resumes_in_s,
            pace=self._pace(service, replica, now),
            tokens_per_event=engine.tokens_per_event if engine else 1,
            own_running=state.own_running,
        )

    def _pace(self, service: Service, replica: Replica, now: float) -> Pace | None:
        """Return the pace of a replica; None if the setting is off or the pace is unknown."""
        parts = self._parts
        if not parts.scheduling.pace:
            return None
        return parts.tracker.paces.pace_if_reported(service.name, replica.name, now)
