"""Placing a request, sending it to a replica, and what is learned from that."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from reachlink.delivery import Outcome
from reachlink.limits import RetryBudget
from reachlink.placement import allowances
from reachlink.requests._attempts import AttemptLog, Setback
from reachlink.requests._book import Flight, ReplicaBook, ReplicaState
from reachlink.requests._choice import REQUEST, Option, Terms, choose
from reachlink.requests._model import CallerRequest
from reachlink.requests._shared_load import SharedLoad
from reachlink.requests.exceptions import RequestFailedError
from reachlink.routing import Service
from reachlink.telemetry import get_logger
from reachlink.upstreams import (
    Continuation,
    RelayAdapter,
    RelayAnswer,
    Replica,
    UpstreamBrokenError,
)

# Share of first attempts that may be sent again.
RETRY_SHARE = 0.1
# A whole answer larger than this, in bytes, is not held to be checked.
MAX_WHOLE_BYTES = 8 << 20
# How long a zone is left alone after one of its replicas could not be reached,
# in seconds: a cut costs each request at most one vain attempt.
CUT_OFF_S = 1.0
# How long a request waits for room, as a share of its objective: a refusal
# after that would come too late for another attempt in time.
WAIT_SHARE = 0.22
WAIT_STEP_S = 0.02
# When to come back after a refusal, in seconds: the next attempt reaches
# another entry instance, whose view of the replicas differs.
RETRY_AFTER_S = 0.1


class Directory(Protocol):
    """Which replicas exist and may get new work."""

    def live(self, upstream: str) -> list[Replica]:
        """Return the replicas of a service that may get new work."""

    def find(self, name: str) -> Replica | None:
        """Return a replica by name."""

    def may_get_work(self, name: str) -> bool:
        """Return whether a replica may get new work now."""

    def suspect_leaving(self, name: str, now: float) -> bool:
        """Note a sign that a replica leaves; return whether that is news."""


@dataclass(slots=True)
class RunnerParts:
    """What `RequestRunner` works with.

    Attributes
    ----------
    zone : str
        This instance's availability zone.
    adapter : RelayAdapter
        Speaks with replicas.
    directory : Directory
        The replicas.
    book : ReplicaBook
        What is known of them.
    shared : SharedLoad
        What the other entry instances have there.
    random : random.Random
        Source of tie-breaks.
    clock : callable
        Monotonic time in seconds.
    on_outcome : callable
        Called with the request, outcome code and duration in seconds.
    on_leaving : callable
        Called with the name of a replica that seems to leave.
    """

    zone: str
    adapter: RelayAdapter
    directory: Directory
    book: ReplicaBook
    shared: SharedLoad
    random: Random
    on_outcome: Callable[[CallerRequest, str, float], None]
    on_leaving: Callable[[str], None] = lambda name: None
    clock: Callable[[], float] = time.monotonic


class Dispatch:
    """Places requests and sends them.

    Parameters
    ----------
    parts : RunnerParts
        What it works with.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._budgets: dict[str, RetryBudget] = {}
        self._cut_off: dict[str, float] = {}
        self._log: Any = get_logger()

    @property
    def adapter(self) -> RelayAdapter:
        """Speaks with replicas."""
        return self._parts.adapter

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._parts.clock()

    def is_near(self, replica: Replica) -> bool:
        """Return whether a replica is in this instance's zone."""
        return replica.availability_zone == self._parts.zone

    def stays(self, replica: Replica) -> bool:
        """Return whether a replica is there and not known to leave."""
        return self._parts.directory.may_get_work(replica.name)

    @property
    def log(self) -> Any:
        """Logger of the process."""
        return self._log

    async def open(
        self,
        request: CallerRequest,
        replica: Replica,
        continuation: Continuation | None = None,
        backup: Replica | None = None,
    ) -> RelayAnswer:
        """Send a request to a replica, with what remains of its time."""
        parts = self._parts
        left = request.arrived_at + request.patience_s - parts.clock()
        left = min(left, request.give_up_at - parts.clock())
        answer = await parts.adapter.open(replica, request.relay, left, continuation, backup)
        now = parts.clock()
        if answer.head.load is not None:
            parts.book.state(replica.name).take_sample(answer.head.load, now)
        if answer.head.leaving and parts.directory.suspect_leaving(replica.name, now):
            self._log.info("upstream_leaving", replica=replica.name, source="answer")
            parts.on_leaving(replica.name)
        return answer

    def place(
        self,
        request: CallerRequest,
        tried: set[str],
        terms: Terms = REQUEST,
        zone: str = "",
    ) -> Replica | None:
        """Return the replica that a request should go to, or None where there is none.

        Parameters
        ----------
        request : CallerRequest
            The request.
        tried : set of str
            Replicas that it must not go to.
        terms : Terms
            On what terms an engine's memory is given.
        zone : str
            Zone whose replicas are preferred; this instance's where empty.
        """
        options = self._options(request.service, tried, zone)
        chosen = choose(options, need_tokens(request), self._parts.random, terms)
        return self._parts.directory.find(chosen) if chosen is not None else None

    def _options(self, service: Service, tried: set[str], zone: str = "") -> list[Option]:
        parts = self._parts
        now = parts.clock()
        live = [r for r in self._reachable(service.name, now) if r.name not in tried]
        states = {r.name: parts.book.state(r.name) for r in live}
        trust = allowances({name: s.health for name, s in states.items()}, now)
        near = zone or parts.zone
        return [self._option(service, r, states[r.name], trust[r.name], near, now) for r in live]

    def _reachable(self, service: str, now: float) -> list[Replica]:
        """Return the live replicas of a service, without those of zones that seem cut off."""
        live = self._parts.directory.live(service)
        self._cut_off = {zone: until for zone, until in self._cut_off.items() if until > now}
        return [r for r in live if r.availability_zone not in self._cut_off]

    def unreachable(self, replica: Replica) -> None:
        """Note that no connection to a replica could be made."""
        self.distrust(replica)
        if not self.is_near(replica):
            self._cut_off[replica.availability_zone] = self._parts.clock() + CUT_OFF_S

    async def place_or_wait(self, request: CallerRequest, tried: set[str]) -> Replica | None:
        """Return the replica that a request should go to, after a short wait for room."""
        parts = self._parts
        until = request.arrived_at + request.route.objective_s * WAIT_SHARE
        while True:
            replica = self.place(request, tried)
            if replica is not None:
                return replica
            if parts.clock() >= until:
                self._log_no_room(request, tried)
                return None
            await asyncio.sleep(WAIT_STEP_S)

    def _log_no_room(self, request: CallerRequest, tried: set[str]) -> None:
        options = self._options(request.service, tried)
        shown = " ".join(
            f"{o.name}:{o.tokens}/{o.capacity_tokens}:{o.running}:{o.trust:.1f}" for o in options
        )
        self._log.info(
            "no_room",
            request_id=request.request_id,
            need_tokens=need_tokens(request),
            tried=len(tried),
            replicas=shown,
        )

    def _option(
        self,
        service: Service,
        replica: Replica,
        state: ReplicaState,
        trust: float,
        near: str,
        now: float,
    ) -> Option:
        engine = service.engine
        others = self._parts.shared.at(replica.name, now)
        sampled = state.sample.slots if state.sample else 0
        return Option(
            name=replica.name,
            near=replica.availability_zone == near,
            running=state.running(now, others.running),
            slots=engine.slots if engine else sampled,
            tokens=max(state.own_tokens + others.tokens, state.reported_tokens(now)),
            unread_tokens=state.own_unread_tokens + others.unread_tokens,
            capacity_tokens=engine.kv_capacity_tokens if engine else 0,
            trust=trust,
        )

    def take_off(
        self, request: CallerRequest, replica: Replica, reads: bool = True, copy: bool = False
    ) -> Flight:
        """Note that a request, or a copy of it, is at a replica.

        Parameters
        ----------
        request : CallerRequest
            The request.
        replica : Replica
            Where it is.
        reads : bool
            Whether the replica has its prompt to read.
        copy : bool
            Whether only a copy of its memory is there.
        """
        unread = request.prompt_tokens if reads else 0
        flight = Flight(request.request_id, need_tokens(request), unread, copy)
        self._parts.book.add(replica.name, flight)
        return flight

    def has_read(self, flight: Flight) -> None:
        """Note that a replica has read a request's prompt."""
        self._parts.book.has_read(flight)

    def land(self, replica: Replica, flight: Flight) -> None:
        """Note that it is there no more."""
        self._parts.book.remove(replica.name, flight)

    def budget(self, service: Service) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._budgets.setdefault(service.name, RetryBudget())

    def distrust(self, replica: Replica) -> None:
        """Note that a replica failed."""
        state = self._parts.book.state(replica.name)
        state.health.on_failure(self._parts.clock(), self._parts.random)

    def log_setback(
        self, request: CallerRequest, replica: Replica, setback: Setback, sent: int
    ) -> None:
        """Log an attempt that brought no answer."""
        self._log.info(
            "attempt_failed",
            request_id=request.request_id,
            route=request.route.name,
            replica=replica.name,
            reason=setback.value,
            sent=sent,
        )

    def failure(self, reason: str, attempts: AttemptLog) -> RequestFailedError:
        """Return the final answer after the last attempt."""
        if attempts.may_have_run:
            return RequestFailedError(502, reason, Outcome.UNKNOWN)
        return RequestFailedError(503, reason, Outcome.NOT_RUN, RETRY_AFTER_S)

    def succeeded(self, replica: Replica) -> None:
        """Note that a replica delivered."""
        self._parts.book.state(replica.name).health.on_success(self._parts.clock())

    def begin(self, request: CallerRequest) -> AttemptLog:
        """Return the empty log of a request's attempts, which earns its share of retries."""
        self.budget(request.service).on_first_attempt(RETRY_SHARE)
        return AttemptLog(request.route.may_repeat, request.route.max_attempts)

    def may_send_again(self, request: CallerRequest, setback: Setback) -> bool:
        """Return whether the budget allows another attempt, and take it from there."""
        return setback is Setback.UNREACHABLE or self.budget(request.service).take()


def need_tokens(request: CallerRequest) -> int:
    """Return the memory that a generation will likely need at its end, in tokens."""
    facts = request.relay.generation
    if facts is None:
        return 0
    expected = facts.expected_output_tokens or facts.max_output_tokens
    return facts.prompt_tokens + min(expected, facts.max_output_tokens)


async def read_whole(answer: RelayAnswer) -> bytes:
    """Return the whole body of an answer."""
    pieces: list[bytes] = []
    size = 0
    while data := await answer.read():
        pieces.append(data)
        size += len(data)
        if size > MAX_WHOLE_BYTES:
            raise UpstreamBrokenError("the answer is too long")
    return b"".join(pieces)
