"""Queue of the requests of one service that wait for capacity; free of I/O and clocks.

Requests that find no capacity wait in one queue per service and zone, or in one per service
over all zones. Its order:

1. *Requests that can still be in time, before those that can only be late.* Serving a late
   request while another one becomes late makes two late requests. Late requests get the
   capacity that is left over.
2. *Priority*, the more urgent first.
3. *The workspace with the smallest recent grants*, so that a few large workspaces do not
   starve the small ones; differences below the size of about one request are ignored.
4. *The longest wait*, including refused attempts.

Requests of lower priority get the share `LOW_PRIORITY_SHARE` of the granted memory, whatever
the demand of more urgent ones. It is a share and not aging: with aging, a backlog of old
requests of low priority would go ahead of all others at once.

Smaller requests may overtake a request that does not fit for `MAX_OVERTAKEN_S`. After that,
capacity is reserved for it, so that the largest requests do not starve because they fit less
often; for `ROOM_RESERVED_S` at most, since the capacity that it could use may never become
free again.

The expected wait is computed from the memory granted recently to requests of the same class,
since more urgent requests that arrive later go first. A request that would start too late is
estimated by what late requests were granted, because these get the capacity that is left over.

The queue handles overload: while there is capacity for all requests, it is empty.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec import structs

from reachlink.scheduling._duration import latest_start_s, prefill_s
from reachlink.scheduling._grant_rate import GrantRate
from reachlink.scheduling._need import Need
from reachlink.scheduling._queue_state import QueueState
from reachlink.scheduling._refusal import expected_wait_s
from reachlink.scheduling._shares import WorkspaceShares

# Maximum number of waiting requests, some 400 B each.
MAX_QUEUED = 512
# Share of the granted memory that goes to less urgent requests while these wait.
LOW_PRIORITY_SHARE = 0.125
# Time in which smaller requests may overtake a request, and the time after that in which
# capacity is reserved for it, in seconds.
MAX_OVERTAKEN_S = 0.4
ROOM_RESERVED_S = 1.0
# Maximum number of classes whose grant rate is measured, some 200 B each.
MAX_CLASS_RATES = 64
# A request is expected to become late if its expected wait exceeds its remaining time by this
# factor.
LATE_FACTOR = 1.5
# Maximum age of the cached positions in the queue, in seconds.
POSITIONS_MAX_AGE_S = 0.1

_Class = tuple[bool, int]


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request in the queue.

    Attributes
    ----------
    request_id : str
        Identifier of the request.
    instance : str
        Instance that queries for it.
    need : Need
        Resources and deadlines of the request, as of `joined_at`.
    joined_at : float
        Monotonic time at which it joined the queue, in seconds.
    lease_until : float
        Monotonic time at which it is removed unless its instance queries again, in seconds.
    overtaken_at : float, optional
        Monotonic time at which a smaller request first overtook it, in seconds.
    """

    request_id: str
    instance: str
    need: Need
    joined_at: float
    lease_until: float
    overtaken_at: float | None = None
    _latest_timely_start_at: float = field(init=False)
    _latest_start_at: float = field(init=False)

    def __post_init__(self) -> None:
        need = self.need
        self._latest_timely_start_at = self.joined_at + need.first_event_due_in_s - prefill_s(need)
        self._latest_start_at = self.joined_at + latest_start_s(need)

    @property
    def wait_started_at(self) -> float:
        """Monotonic time at which the caller's wait began, in seconds."""
        return self.joined_at - self.need.waited_s

    @property
    def latest_start_at(self) -> float:
        """Latest monotonic time at which a start is of use to the caller, in seconds."""
        return self._latest_start_at

    @property
    def latest_timely_start_at(self) -> float:
        """Latest monotonic time at which a start is in time, in seconds."""
        return self._latest_timely_start_at

    def need_at(self, now: float) -> Need:
        """Return its resources and deadlines as of a monotonic time in seconds."""
        need, elapsed_s = self.need, now - self.joined_at
        return structs.replace(
            need,
            first_event_due_in_s=need.first_event_due_in_s - elapsed_s,
            give_up_in_s=need.give_up_in_s - elapsed_s,
            waited_s=need.waited_s + elapsed_s,
        )

    def is_late(self, now: float) -> bool:
        """Return whether it can only be late, at a monotonic time in seconds."""
        return now > self._latest_timely_start_at

    def reserves_room(self, now: float) -> bool:
        """Return whether capacity is reserved for it, so that no smaller one may overtake it."""
        if self.overtaken_at is None:
            return False
        elapsed_s = now - self.overtaken_at
        return MAX_OVERTAKEN_S <= elapsed_s < MAX_OVERTAKEN_S + ROOM_RESERVED_S

    def record_overtaken(self, now: float) -> None:
        """Record that a smaller request was granted capacity ahead of it."""
        if (
            self.overtaken_at is None
            or now - self.overtaken_at >= MAX_OVERTAKEN_S + ROOM_RESERVED_S
        ):
            self.overtaken_at = now


class RequestQueue:
    """Queue of one service, in one zone or over all zones.

    Examples
    --------
    >>> queue = RequestQueue()
    >>> _ = queue.join("r1", "e1", Need(tokens=4000, priority=5), 0.0, 1.0)
    >>> _ = queue.join("r2", "e2", Need(tokens=4000, priority=1), 0.1, 1.0)
    >>> [waiting.request_id for waiting in queue.order(0.2)]
    ['r2', 'r1']
    """

    def __init__(self, max_waiting: int = MAX_QUEUED) -> None:
        self._max_waiting = max_waiting
        self._waiting: dict[str, QueuedRequest] = {}
        self._shares = WorkspaceShares()
        self._rate = GrantRate()
        # Grant rates by class: whether a request can only be late, and its priority.
        self._class_rates: dict[_Class, GrantRate] = {}
        # Memory still to be granted to less urgent requests, in tokens.
        self._low_priority_tokens = 0.0
        self._positions: dict[str, tuple[int, int]] = {}
        self._class_tokens: dict[_Class, int] = {}
        # Demand of each workspace in the queue, and the fair share of each, in tokens.
        self._demand: dict[str, float] = {}
        self._fair_share = float("inf")
        self._positions_at = float("-inf")

    def __len__(self) -> int:
        return len(self._waiting)

    def find(self, request_id: str) -> QueuedRequest | None:
        """Return a request in the queue, or None."""
        return self._waiting.get(request_id)

    def oldest_wait_s(self, now: float) -> float:
        """Return how long the oldest request has been in this queue, in seconds."""
        return max((now - w.joined_at for w in self._waiting.values()), default=0.0)

    def granted_tokens_per_s(self, now: float) -> float:
        """Return the memory granted per second, in tokens; 0 if unknown."""
        return self._rate.tokens_per_s(now)

    def join(
        self, request_id: str, instance: str, need: Need, now: float, lease_s: float
    ) -> QueuedRequest:
        """Add a request, or renew its lease; a request in the queue keeps its position.

        Parameters
        ----------
        request_id, instance : str
            Identifier of the request, and the instance that queries for it.
        need : Need
            Resources and deadlines of the request, as of now.
        now : float
            Monotonic time in seconds.
        lease_s : float
            Time after which it is removed unless its instance queries again, in seconds.
        """
        waiting = self._waiting.get(request_id)
        if waiting is None:
            waiting = QueuedRequest(request_id, instance, need, now, now + lease_s)
            self._waiting[request_id] = waiting
            self._rate.on_waiting(now)
        waiting.instance = instance
        waiting.lease_until = now + lease_s
        return waiting

    def leave(self, request_id: str, now: float) -> QueuedRequest | None:
        """Remove a request, and return it if it was in the queue."""
        waiting = self._waiting.pop(request_id, None)
        self._positions.pop(request_id, None)
        if not self._waiting:
            self._rate.on_empty(now)
            self._low_priority_tokens = 0.0
        return waiting

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return requests whose lease has ended or that could not end in time."""
        over = [w for w in self._waiting.values() if now >= min(w.lease_until, w.latest_start_at)]
        for waiting in over:
            self.leave(waiting.request_id, now)
        if self._waiting:
            self._rate.on_waiting(now)
        self._update_class_rates(now)
        return over

    def pause_grant_rates(self, now: float) -> None:
        """Pause the grant rates while there is no replica: that time would distort them."""
        for rate in (self._rate, *self._class_rates.values()):
            rate.on_empty(now)

    def shed(self, now: float) -> QueuedRequest | None:
        """Remove and return one request if the queue is too long, or return None.

        Requests that can only be late are removed first, then the least urgent, then those of
        the workspace with the largest demand, so that a large workspace does not fill the
        queue, and then the youngest.
        """
        if len(self._waiting) <= self._max_waiting:
            return None
        demand = self.demand_tokens(now)

        def key(waiting: QueuedRequest) -> tuple[bool, int, float, float]:
            need = waiting.need
            return (
                waiting.is_late(now),
                need.priority,
                demand[need.workspace],
                waiting.wait_started_at,
            )

        return self.leave(max(self._waiting.values(), key=key).request_id, now)

    def demand_tokens(self, now: float) -> dict[str, float]:
        """Return recent grants plus waiting requests of each waiting workspace, in tokens."""
        demand: dict[str, float] = {}
        for waiting in self._waiting.values():
            name = waiting.need.workspace
            if name not in demand:
                demand[name] = self._shares.tokens(name, now)
            demand[name] += waiting.need.tokens
        return demand

    def order(self, now: float) -> list[QueuedRequest]:
        """Return the requests in their order at a monotonic time in seconds."""
        found = sorted(self._waiting.values(), key=self._key(now))
        if not found:
            return found
        urgent = found[0].need.priority
        low_priority = next((w for w in found if w.need.priority > urgent), None)
        if low_priority is not None and self._low_priority_tokens >= low_priority.need.tokens:
            found.remove(low_priority)
            found.insert(0, low_priority)
        return found

    def head(self, now: float) -> QueuedRequest | None:
        """Return the first request, or None if the queue is empty."""
        return next(iter(self.order(now)), None)

    def grant(self, request_id: str, now: float) -> QueuedRequest | None:
        """Remove a request that starts, and return it if it was in the queue."""
        waiting = self._waiting.get(request_id)
        if waiting is None:
            return None
        self._rate.on_waiting(now)
        self._rate.on_granted(waiting.need.tokens)
        rate = self._class_rates.get(_class_of(waiting, now))
        if rate is not None:
            rate.on_granted(waiting.need.tokens)
        self._shares.add(waiting.need.workspace, waiting.need.tokens, now)
        self._update_low_priority_tokens(waiting)
        return self.leave(request_id, now)

    def record_immediate_start(self, need: Need, now: float) -> None:
        """Record a request that started without waiting as a grant to its workspace."""
        self._shares.add(need.workspace, need.tokens, now)

    def state_ahead_of(self, waiting: QueuedRequest, now: float) -> QueueState:
        """Return the state of the queue ahead of a request."""
        if now - self._positions_at > POSITIONS_MAX_AGE_S:
            self._update_positions(now)
        position = self._positions.get(waiting.request_id)
        if position is None:
            position = self._position(waiting, now)
            if waiting.request_id in self._waiting:
                self._positions[waiting.request_id] = position
        over = self._demand.get(waiting.need.workspace, 0.0) > self._fair_share
        rate = self._class_rate(_class_of(waiting, now), now)
        state = QueueState(*position, rate, over_share=over)
        wait_s = expected_wait_s(waiting.need, state)
        left_s = waiting.latest_timely_start_at - now
        if waiting.is_late(now) or not state.granted_tokens_per_s or wait_s <= LATE_FACTOR * left_s:
            return state
        late = self._state_if_late(waiting, state, now)
        late_wait_s = expected_wait_s(waiting.need, late)
        # Late requests never wait less; their grant rate may be unknown yet.
        return late if late.granted_tokens_per_s and late_wait_s > wait_s else state

    def _state_if_late(self, waiting: QueuedRequest, state: QueueState, now: float) -> QueueState:
        """Return the state ahead of a request that becomes late before it starts.

        Once it is late, it waits behind the requests that are late already and behind those
        ahead of it that become late, too.
        """
        late = (True, waiting.need.priority)
        left_s = waiting.latest_timely_start_at - now
        rate = self._class_rate(late, now)
        behind = max(0.0, state.ahead_tokens - left_s * state.granted_tokens_per_s)
        tokens = self._class_tokens.get(late, 0) + behind + left_s * rate
        return QueueState(state.ahead, round(tokens), rate, over_share=state.over_share)

    def _class_rate(self, class_: _Class, now: float) -> float:
        rate = self._class_rates.get(class_)
        return rate.tokens_per_s(now) if rate is not None else 0.0

    def _update_class_rates(self, now: float) -> None:
        """Update the grant rate of each class by whether requests of it wait."""
        present = {_class_of(waiting, now) for waiting in self._waiting.values()}
        for class_ in present - self._class_rates.keys():
            if len(self._class_rates) >= MAX_CLASS_RATES:
                del self._class_rates[next(iter(self._class_rates))]
            self._class_rates[class_] = GrantRate()
        for class_, rate in self._class_rates.items():
            if class_ in present:
                rate.on_waiting(now)
            else:
                rate.on_empty(now)

    def _update_positions(self, now: float) -> None:
        self._positions.clear()
        self._class_tokens.clear()
        for ahead, waiting in enumerate(self.order(now)):
            class_ = _class_of(waiting, now)
            tokens = self._class_tokens.get(class_, 0)
            self._positions[waiting.request_id] = (ahead, tokens)
            self._class_tokens[class_] = tokens + waiting.need.tokens
        self._demand = self.demand_tokens(now)
        self._fair_share = self._shares.share(self._demand, self.granted_tokens_per_s(now), now)
        self._positions_at = now

    def _position(self, waiting: QueuedRequest, now: float) -> tuple[int, int]:
        key = self._key(now)
        own = key(waiting)
        class_ = _class_of(waiting, now)
        before = [w for w in self._waiting.values() if key(w) < own]
        return len(before), sum(w.need.tokens for w in before if _class_of(w, now) == class_)

    def _update_low_priority_tokens(self, granted: QueuedRequest) -> None:
        """Update the memory still to be granted to less urgent requests after a grant."""
        others = [w.need for w in self._waiting.values() if w is not granted]
        if any(need.priority > granted.need.priority for need in others):
            most = max(need.tokens for need in others) / LOW_PRIORITY_SHARE
            due = self._low_priority_tokens + granted.need.tokens * LOW_PRIORITY_SHARE
            self._low_priority_tokens = min(due, most)
        elif any(need.priority < granted.need.priority for need in others):
            self._low_priority_tokens = max(0.0, self._low_priority_tokens - granted.need.tokens)

    def _key(self, now: float) -> Callable[[QueuedRequest], tuple[bool, int, int, float, str]]:
        ranks: dict[str, int] = {}

        def key(waiting: QueuedRequest) -> tuple[bool, int, int, float, str]:
            need = waiting.need
            rank = ranks.get(need.workspace)
            if rank is None:
                rank = ranks[need.workspace] = self._shares.rank(need.workspace, now)
            late = waiting.is_late(now)
            return late, need.priority, rank, waiting.wait_started_at, waiting.request_id

        return key


def _class_of(waiting: QueuedRequest, now: float) -> _Class:
    """Return the class of a request: whether it can only be late, and its priority."""
    return waiting.is_late(now), waiting.need.priority
