"""Observations of the replicas' pace in their answers."""

from reachlink.requests._model import CallerRequest
from reachlink.requests._parts import RunnerParts
from reachlink.scheduling import nominal_event_interval_s
from reachlink.upstreams import LoadSample, Replica


class ReplicaPace:
    """Records the pace that replicas report and the pace that is observed in their answers.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts

    def note_load(self, replica: Replica, load: LoadSample, now: float) -> None:
        """Record the load that a replica reported, and its pace if it reported one."""
        tracker = self._parts.tracker
        tracker.state(replica.name).record_sample(load, now)
        if load.pace is not None:
            tracker.paces.record_reported(replica.upstream, replica.name, load.pace, now)

    def has_unread_prompts(self, replica: Replica) -> bool:
        """Return whether a replica has prompts to process, which delay its generations."""
        parts = self._parts
        if parts.tracker.state(replica.name).own_unread_tokens:
            return True
        return parts.peer_load.usage_at(replica.name, parts.clock()).unread_tokens > 0

    def note_event_interval(self, request: CallerRequest, replica: Replica, event_s: float) -> None:
        """Record the interval between events of a generation while no prompt is processed.

        Parameters
        ----------
        request : CallerRequest
            Request of the generation.
        replica : Replica
            Replica at which the generation runs.
        event_s : float
            Time between two events, in seconds.
        """
        parts, engine = self._parts, request.service.engine
        if engine is None:
            return
        now = parts.clock()
        state = parts.tracker.state(replica.name)
        others = parts.peer_load.usage_at(replica.name, now).running
        running = state.running(now, state.own_running + others)
        usual_s = nominal_event_interval_s(running, engine.tokens_per_event)
        parts.tracker.paces.record_measured(replica.upstream, replica.name, event_s / usual_s, now)

    def note_call(self, request: CallerRequest, replica: Replica, sent_at: float) -> None:
        """Record the duration of a call that ended, or was given up, at its replica.

        Calls to model engines and calls that may have waited in the replica's own queue are
        ignored.

        Parameters
        ----------
        request : CallerRequest
            Request of the call.
        replica : Replica
            Replica that the call was sent to.
        sent_at : float
            Monotonic time in seconds at which the call was sent.
        """
        parts, now = self._parts, self._parts.clock()
        if request.service.engine is not None or parts.tracker.state(replica.name).has_waiting(now):
            return
        parts.tracker.paces.record_call(
            replica.upstream, request.route.name, replica.name, now - sent_at, now
        )
