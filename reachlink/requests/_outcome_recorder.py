"""What is learned of a replica from how a request ended there."""

from typing import Any

from reachlink.membership import LeavingSource
from reachlink.quarantine import BrokenRun, CrashGuard
from reachlink.requests._attempts import AttemptFailure
from reachlink.requests._load_notes import ReplicaOutcome
from reachlink.requests._model import CallerRequest
from reachlink.requests._parts import RunnerParts
from reachlink.requests._placing import Placing
from reachlink.telemetry import get_logger
from reachlink.upstreams import AnswerHead, Replica


class OutcomeRecorder:
    """Notes how requests ended at replicas.

    Parameters
    ----------
    parts : RunnerParts
        What it works with.
    placing : Placing
        Leaves zones alone that could not be reached.
    guard : CrashGuard
        Judges which request a replica crashed under.
    """

    def __init__(self, parts: RunnerParts, placing: Placing, guard: CrashGuard) -> None:
        self._parts = parts
        self._placing = placing
        self._guard = guard
        self._log: Any = get_logger()

    def record_success(self, request: CallerRequest, replica: Replica) -> None:
        """Note that a replica delivered."""
        self._record_outcome(ReplicaOutcome(replica.name, good=True))
        self._guard.on_answer(request.relay.fingerprint)

    def record_failed_answer(self, request: CallerRequest, replica: Replica) -> None:
        """Note that a replica answered that a request has failed."""
        self._record_outcome(ReplicaOutcome(replica.name, good=False))
        self._guard.on_answer(request.relay.fingerprint)

    def record_no_answer(self, replica: Replica) -> None:
        """Note that a replica gave no answer, or none that counts."""
        self._record_outcome(ReplicaOutcome(replica.name, good=False, answered=False))

    def record_unreachable(self, replica: Replica) -> None:
        """Note that no connection to a replica could be made."""
        self.record_no_answer(replica)
        self._placing.reachable.note_unreachable(replica)

    def record_broken(
        self, request: CallerRequest, replica: Replica, sent_at: float, begun: bool
    ) -> None:
        """Note that the connection to a replica ended before a request's answer did.

        Parameters
        ----------
        request : CallerRequest
            The request.
        replica : Replica
            Where it was.
        sent_at : float
            When it was sent there, in monotonic seconds.
        begun : bool
            Whether a part of the answer had come.
        """
        self.record_no_answer(replica)
        run = BrokenRun(
            request.request_id,
            request.relay.fingerprint,
            replica,
            sent_at,
            self._parts.clock(),
            begun,
        )
        self._guard.on_broken(run)

    def record_refusal(self, replica: Replica, head: AnswerHead, sent_at: float) -> AttemptFailure:
        """Return what it means that a replica did not run a request, and note it.

        Parameters
        ----------
        replica : Replica
            The replica.
        head : AnswerHead
            What it said.
        sent_at : float
            When the request was sent there, in monotonic seconds.
        """
        if not head.misdirected:
            self._record_refusal(replica, sent_at)
            return AttemptFailure.NOT_RUN
        # Replicas come back under other names while the list still has those before: one
        # request after the other would be sent to these, and refused.
        if self._parts.directory.mark_gone(replica.name, self._parts.clock()):
            self._log.info("upstream_gone", replica=replica.name)
            self._parts.on_gone(replica.name)
        return AttemptFailure.GONE

    def record_leaving(self, replica: Replica, head: AnswerHead, now: float) -> None:
        """Note that a replica says that it leaves, or closes its connections as those do."""
        if head.misdirected or not (head.leaving or head.closing):
            return
        parts = self._parts
        source = LeavingSource.ANSWER if head.leaving else LeavingSource.CLOSING
        if parts.directory.mark_leaving(replica.name, source, now):
            self._log.info("upstream_leaving", replica=replica.name, source=source.value)
            parts.on_leaving(replica.name, head.leaving)

    def _record_refusal(self, replica: Replica, sent_at: float) -> None:
        """Note a refusal of a replica that has not said for how long it wants nothing."""
        pacing, now = self._parts.pacing, self._parts.clock()
        if pacing.backoffs.remaining_s(replica.address, now):
            return
        wait_s = pacing.refusals.note_refused(replica.address, sent_at, now)
        self._log.info("replica_refuses", replica=replica.name, wait_s=round(wait_s, 3))

    def _record_outcome(self, outcome: ReplicaOutcome) -> None:
        parts = self._parts
        parts.book.note_outcome(outcome, parts.clock(), parts.random)
        parts.book.keep_outcome(outcome)
