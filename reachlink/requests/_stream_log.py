"""Log lines of one stream."""

from typing import Any

from reachlink.requests._event_merger import EventMerger
from reachlink.requests._generation_replicas import GenerationReplicas
from reachlink.requests._model import CallerRequest
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._stop_results import StopResult
from reachlink.requests._stream_times import StreamTimes
from reachlink.upstreams import MovedMemory, Replica


class StreamLog:
    """Writes what becomes of a stream and where it runs.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Gives access to the logger and to the load of the replicas.
    request : CallerRequest
        Request of the stream.
    replicas : GenerationReplicas
        Replicas of the generation.
    merger : EventMerger
        Provides the number of the last event.
    """

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        request: CallerRequest,
        replicas: GenerationReplicas,
        merger: EventMerger,
    ) -> None:
        self._dispatcher = dispatcher
        self._request = request
        self._replicas = replicas
        self._merger = merger
        self._moves = 0

    @property
    def _log(self) -> Any:
        return self._dispatcher.log

    def continues(self, lost: Replica, target: Replica, memory: MovedMemory) -> None:
        """Log that the generation is to resume at another replica."""
        self._moves += 1
        self._log.info(
            "stream_continues",
            request_id=self._request.request_id,
            lost=lost.name,
            replica=target.name,
            copy=_name(self._replicas.backup),
            handle=memory.handle,
            after_event=self._merger.last_event_number,
        )

    def continuation_failed(self, target: Replica, reason: str) -> None:
        """Log that the generation could not resume at a replica."""
        self._log.warning(
            "continuation_failed",
            request_id=self._request.request_id,
            replica=target.name,
            reason=reason,
        )

    def stays(self, replica: Replica) -> None:
        """Log that a stream that could not resume elsewhere goes on at its silent replica."""
        self._log.warning(
            "stream_stays",
            request_id=self._request.request_id,
            replica=replica.name,
            last_event=self._merger.last_event_number,
        )

    def broken(self, reason: str, result: StopResult | None = None) -> None:
        """Log that the connection broke, or that the replica was silent for long.

        Parameters
        ----------
        reason : str
            What happened.
        result : StopResult, optional
            Result of an order to stop the generation there.
        """
        self._log.warning(
            "stream_broken",
            request_id=self._request.request_id,
            replica=self._replicas.primary.name,
            last_event=self._merger.last_event_number,
            copy=_name(self._replicas.backup),
            shadow=_name(self._replicas.shadow),
            stop=result.outcome.value if result is not None else "",
            reason=reason,
        )

    def joined(self, pause_s: float) -> None:
        """Log the first event after the generation resumed at another replica."""
        self._log.info(
            "stream_joined",
            request_id=self._request.request_id,
            replica=self._replicas.primary.name,
            event_number=self._merger.last_event_number,
            pause_ms=round(pause_s * 1000.0),
            replicas=self._dispatcher.placer.options.describe(self._request.service, set()),
        )

    def paused(self, pause_s: float) -> None:
        """Log a pause that exceeds the limit of the route."""
        self._log.info(
            "stream_paused",
            request_id=self._request.request_id,
            replica=self._replicas.primary.name,
            event_number=self._merger.last_event_number,
            pause_ms=round(pause_s * 1000.0),
        )

    def delivered(self, times: StreamTimes) -> None:
        """Log the timing of a complete stream beside the objectives of its route."""
        self._log.info(
            "stream_delivered",
            request_id=self._request.request_id,
            route=self._request.route.name,
            workspace=self._request.relay.workspace,
            replica=self._replicas.primary.name,
            prompt_tokens=self._request.prompt_tokens,
            last_event=self._merger.last_event_number,
            first_event_ms=round((times.first_s or 0.0) * 1000.0),
            objective_ms=round(self._request.route.objective_s * 1000.0),
            longest_pause_ms=round(times.longest_pause_s * 1000.0),
            longest_pause_at=times.longest_pause_at,
            pause_goal_ms=round((self._request.route.event_gap_s or 0.0) * 1000.0),
            moves=self._moves,
        )


def _name(replica: Replica | None) -> str:
    return replica.name if replica is not None else ""
