"""State machine that delivers one answer; does no I/O.

It takes events of the upstream and returns steps for its caller to execute. Whatever the
order, repetition or loss of events, each token is forwarded once, in order, and all tokens
come from one generation.

References
----------
.. [1] HTML Living Standard, "Server-sent events", for ``Last-Event-ID``.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from reachlink.delivery._outcomes import Outcome
from reachlink.upstreams import TokenEvent


@dataclass(slots=True, frozen=True)
class Forward:
    """Forward these events to the caller."""

    events: Sequence[TokenEvent]


@dataclass(slots=True, frozen=True)
class Finish:
    """The answer is complete."""


@dataclass(slots=True, frozen=True)
class Resume:
    """Request the events of the generation from `offset` on from the engine."""

    generation: str
    offset: int


@dataclass(slots=True, frozen=True)
class Regenerate:
    """Discard the buffered events and dispatch the request again, to another replica."""


@dataclass(slots=True, frozen=True)
class Fail:
    """End the answer with an error."""

    outcome: Outcome
    reason: str


Step = Forward | Finish | Resume | Regenerate | Fail


@dataclass(slots=True)
class Delivery:
    """State of one answer.

    Parameters
    ----------
    request_id : str
        Id that every event of the answer must have.
    repeatable : bool
        Whether the request may run more than once.
    buffered : bool
        Whether the answer is sent in one part at its end, so that the generation may be
        replaced until then.
    max_resumes : int
        Maximum number of consecutive resumes without a new token after broken connections.
    max_silence_s : float
        Longest time in seconds without a token while the engine has the generation.
    max_ignored : int
        Maximum number of ignored events in a row on one connection, beside those of a repetition
        of the answer from its start.
    generation : str
        Id of the generation from which events are accepted; empty if there is none.
    next_offset : int
        Offset of the next event to forward.
    finished : bool
        Whether the final event has arrived.
    forwarded : int
        Number of events forwarded, or received by the caller before `start_at`.
    repeats, foreign : int
        Numbers of ignored events: repeated ones, and those of another request or generation.
    gaps : int
        Number of batches with missing events.
    last_break : str
        Reason of the last break of the connection or loss of the generation.
    """

    request_id: str
    repeatable: bool
    buffered: bool = False
    max_resumes: int = 4
    max_silence_s: float = 60.0
    max_ignored: int = 10_000
    generation: str = ""
    next_offset: int = 0
    finished: bool = False
    forwarded: int = 0
    repeats: int = 0
    foreign: int = 0
    gaps: int = 0
    last_break: str = ""
    # Resumes since the last new token, and how many of them followed a broken connection.
    _resumes: int = field(default=0)
    _breaks: int = field(default=0)
    # Ignored events since the last new token, or on the present connection if it is newer.
    _ignored: int = field(default=0)

    def bind(self, generation: str) -> None:
        """Accept further events from this generation only."""
        self.generation = generation
        self._reset_resumes()

    def start_at(self, generation: str, offset: int) -> None:
        """Continue an answer whose events before `offset` the caller has received."""
        self.bind(generation)
        self.next_offset = offset
        self.forwarded = offset

    @property
    def resumes_without_token(self) -> int:
        """Number of resumes since the last new token."""
        return self._resumes

    def on_events(self, events: Sequence[TokenEvent]) -> list[Step]:
        """Handle a batch of events in the order of its arrival.

        Returns
        -------
        list of Step
            `Forward` with the events that continue the answer; then `Finish` after the
            final event, or the steps of `on_broken` if events are missing.
        """
        ready: list[TokenEvent] = []
        gap = False
        for event in events:
            if self.finished:
                break
            if not self._is_own(event):
                self._ignored += 1
            elif event.offset < self.next_offset:
                self.repeats += 1
                self._ignored += 1
            elif event.offset > self.next_offset:
                gap = True
                break
            else:
                ready.append(event)
                self.next_offset += 1
                self.finished = event.final
        steps = self._steps_for(ready, gap)
        if not steps and self._ignored > self.max_ignored + self.next_offset:
            return self.on_broken("no new event among many")
        return steps

    def on_broken(self, reason: str) -> list[Step]:
        """Handle a connection that broke or ended early."""
        self._breaks += 1
        if self._breaks > self.max_resumes:
            return self.on_generation_lost(reason)
        return self._resume(reason)

    def on_stalled(self, silent_s: float) -> list[Step]:
        """Handle a connection without a token for some time.

        The engine may have preempted the generation: as long as it says, when asked to resume, that
        it has the generation, its silence ends no answer.

        Parameters
        ----------
        silent_s : float
            Time since the last token, in seconds.
        """
        reason = f"no token for {silent_s:.1f} s"
        if silent_s > self.max_silence_s:
            return self.on_generation_lost(reason)
        return self._resume(reason)

    def on_generation_lost(self, reason: str) -> list[Step]:
        """Handle the loss of the generation or of the engine that ran it."""
        self.last_break = reason
        if self.finished:
            return []
        return [self._lost(reason)]

    def _resume(self, reason: str) -> list[Step]:
        self.last_break = reason
        if self.finished:
            return []
        if not self.generation:
            return [self._lost(reason)]
        self._resumes += 1
        self._ignored = 0
        return [Resume(self.generation, self.next_offset)]

    def _reset_resumes(self) -> None:
        self._resumes = self._breaks = self._ignored = 0

    def _is_own(self, event: TokenEvent) -> bool:
        if event.generation == self.generation and event.request_id == self.request_id:
            return True
        self.foreign += 1
        return False

    def _steps_for(self, ready: list[TokenEvent], gap: bool) -> list[Step]:
        steps: list[Step] = []
        if ready:
            self._reset_resumes()
            self.forwarded += len(ready)
            steps.append(Forward(ready))
        if self.finished:
            steps.append(Finish())
        elif gap:
            self.gaps += 1
            steps.extend(self.on_broken("events are missing"))
        return steps

    def _lost(self, reason: str) -> Step:
        untouched = self.buffered or self.forwarded == 0
        if self.repeatable and untouched:
            self.generation = ""
            self.next_offset = 0
            self.forwarded = 0
            self._reset_resumes()
            return Regenerate()
        outcome = Outcome.RAN if self.forwarded else Outcome.UNKNOWN
        return Fail(outcome, reason)
