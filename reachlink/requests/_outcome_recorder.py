"""Recording the health of replicas from how requests ended at them."""

from typing import Any

from reachlink.membership import LeavingSource
from reachlink.quarantine import BrokenRun, CrashGuard
from reachlink.requests._attempts import AttemptFailure
from reachlink.requests._load_updates import ReplicaOutcome
from reachlink.requests._model import CallerRequest
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placer import Placer
from reachlink.telemetry import get_logger
from reachlink.upstreams import AnswerHead, Replica, UpstreamUnreachableError


class OutcomeRecorder:
    """Records how requests ended at replicas.

    Parameters
    ----------
    parts : RunnerParts
        Dependencies.
    placer : Placer
        Avoids zones that could not be reached.
    guard : CrashGuard
        Finds out which requests crash replicas.
    """

    def __init__(self, parts: RunnerParts, placer: Placer, guard: CrashGuard) -> None:
        self._parts = parts
        self._placer = placer
        self._guard = guard
        self._log: Any = get_logger()

    def record_answer(self, replica: Replica, succeeded: bool) -> None:
        """Record that a replica gave its whole answer, or a server error."""
        self._record_outcome(ReplicaOutcome(replica.name, succeeded))

    def record_sound(self, request: CallerRequest, begun_at: float) -> None:
        """Record that a replica ran a request and gave its whole answer, begun at a time.

        A refusal or an error is no evidence that the replica survives the request: it may not
        have begun it.

        Parameters
        ----------
        request : CallerRequest
            The request.
        begun_at : float
            Monotonic time in seconds at which the answer began.
        """
        self._guard.on_answer(request.relay.features, begun_at)

    def record_progress(self, request: CallerRequest, begun_at: float) -> None:
        """Record that an answer has been arriving for some time since a monotonic time."""
        self._guard.on_progress(request.relay.features, begun_at)

    def record_no_answer(self, replica: Replica) -> None:
        """Record that a replica gave no answer, or not a genuine one."""
        self._record_outcome(ReplicaOutcome(replica.name, succeeded=False, answered=False))

    def record_unreachable(self, replica: Replica, error: UpstreamUnreachableError) -> None:
        """Record that no connection to a replica could be made."""
        self.record_no_answer(replica)
        if not error.replica_away:
            self._placer.reachable.note_unreachable(replica)

    def record_broken(
        self,
        request: CallerRequest,
        replica: Replica,
        sent_at: float,
        begun_at: float | None = None,
    ) -> None:
        """Record that the connection to a replica ended before the answer was complete.

        Parameters
        ----------
        request : CallerRequest
            The request.
        replica : Replica
            Replica that the request was sent to.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        begun_at : float, optional
            Monotonic time in seconds at which the first part of the answer arrived.
        """
        self.record_no_answer(replica)
        run = BrokenRun(
            request.request_id,
            request.relay.features,
            replica,
            sent_at,
            self._parts.clock(),
            begun_at,
        )
        self._guard.on_broken(run)

    def record_refusal(self, replica: Replica, head: AnswerHead, sent_at: float) -> AttemptFailure:
        """Record that a replica refused to run a request; return the failure of the attempt.

        Parameters
        ----------
        replica : Replica
            The replica.
        head : AnswerHead
            Head of its answer.
        sent_at : float
            Monotonic time in seconds at which the request was sent.
        """
        if not head.misdirected:
            self._record_refusal(replica, sent_at)
            return AttemptFailure.NOT_RUN
        # The address belongs to another replica by now. Until the list of replicas drops the old
        # name, one request after the other would be sent there and refused.
        if self._parts.directory.mark_gone(replica.name, self._parts.clock()):
            self._log.info("upstream_gone", replica=replica.name)
            self._parts.on_gone(replica.name)
        return AttemptFailure.GONE

    def record_leaving(self, replica: Replica, head: AnswerHead, now: float) -> None:
        """Record that a replica announces that it leaves, or closes its connection.

        Leaving replicas close their connections; others do so now and then.
        """
        if head.misdirected or not (head.leaving or head.closing):
            return
        parts = self._parts
        source = LeavingSource.ANSWER if head.leaving else LeavingSource.CLOSING
        if parts.directory.mark_leaving(replica.name, source, now):
            self._log.info("upstream_leaving", replica=replica.name, source=source.value)
            parts.on_leaving(replica.name, head.leaving)

    def _record_refusal(self, replica: Replica, sent_at: float) -> None:
        """Record a refusal, unless the replica has asked for a backoff with it."""
        pacing, now = self._parts.pacing, self._parts.clock()
        if pacing.backoffs.remaining_s(replica.address, now):
            return
        wait_s = pacing.refusals.note_refused(replica.address, sent_at, now)
        self._log.info("replica_refuses", replica=replica.name, wait_s=round(wait_s, 3))

    def _record_outcome(self, outcome: ReplicaOutcome) -> None:
        parts = self._parts
        parts.tracker.record_outcome(outcome, parts.clock(), parts.random)
        parts.tracker.buffer_outcome(outcome)
