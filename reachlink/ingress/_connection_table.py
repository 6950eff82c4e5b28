"""Decides which connections a server keeps when there is no room for all of them; pure."""

from collections import OrderedDict
from collections.abc import Hashable
from enum import Enum

from reachlink.ingress._limits import IngressLimits

# Memory of a connection that rests, in bytes.
CONNECTION_BYTES = 8 << 10
# Memory of a request that is handled, in bytes, without its body.
REQUEST_BYTES = 24 << 10
# Memory that a byte of a head takes until the head has arrived; the parser keeps a copy.
BYTES_PER_HEAD_BYTE = 2
# Share of the memory beyond which no request begins; what is left is for those that are refused.
REQUEST_SHARE = 0.9
# Time in seconds for which a connection is kept in any case while nothing arrives on it.
MIN_IDLE_S = 1.0


class ConnectionPhase(Enum):
    """What happens on a connection."""

    FRESH = "fresh"  # no request has come yet
    RESTING = "resting"  # the last request has ended
    HEAD = "head"  # the head of a request is arriving
    BODY = "body"  # a request is handled whose body is arriving
    RUNNING = "running"  # a request is handled that has arrived whole
    AHEAD = "ahead"  # the same, and more has arrived behind it


# Phases whose connections are closed for others, in this order, the one that has been without
# a new byte for the longest time first. A running request is cut off last, and only where its
# caller has sent more behind it.
_CLOSING_ORDER = (
    ConnectionPhase.HEAD,
    ConnectionPhase.BODY,
    ConnectionPhase.FRESH,
    ConnectionPhase.RESTING,
    ConnectionPhase.AHEAD,
)
_HANDLED = (ConnectionPhase.BODY, ConnectionPhase.RUNNING, ConnectionPhase.AHEAD)


class _Connection:
    __slots__ = ("changed_at", "head_since", "phase", "unprocessed")

    def __init__(self, now: float) -> None:
        self.phase = ConnectionPhase.FRESH
        # When the phase began or bytes arrived last, in monotonic seconds.
        self.changed_at = now
        # When the head that is arriving began to, in monotonic seconds.
        self.head_since = now
        # Memory of what was received and is not processed yet, in bytes.
        self.unprocessed = 0


class ConnectionTable:
    """The open connections of one server, and the memory that they take.

    Parameters
    ----------
    limits : IngressLimits
        Limits of the server.
    """

    def __init__(self, limits: IngressLimits) -> None:
        self._limits = limits
        self._connections: dict[Hashable, _Connection] = {}
        self._by_phase: dict[ConnectionPhase, OrderedDict[Hashable, None]] = {
            phase: OrderedDict() for phase in ConnectionPhase
        }
        self._unprocessed = 0

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._connections)

    def __contains__(self, key: Hashable) -> bool:
        """Return whether a connection is open."""
        return key in self._connections

    @property
    def limits(self) -> IngressLimits:
        """Limits of the server."""
        return self._limits

    @property
    def used_bytes(self) -> int:
        """Memory that the connections and their requests take, in bytes."""
        requests = sum(self.count(phase) for phase in _HANDLED)
        return (
            len(self._connections) * CONNECTION_BYTES + requests * REQUEST_BYTES + self._unprocessed
        )

    @property
    def is_full(self) -> bool:
        """Whether the limits are exceeded."""
        return (
            len(self._connections) > self._limits.max_connections
            or self.used_bytes > self._limits.connection_bytes
        )

    @property
    def admits_request(self) -> bool:
        """Whether there is room for the requests that have begun."""
        return self.used_bytes <= self._limits.connection_bytes * REQUEST_SHARE

    def count(self, phase: ConnectionPhase) -> int:
        """Return the number of connections in a phase."""
        return len(self._by_phase[phase])

    def phase_of(self, key: Hashable) -> ConnectionPhase | None:
        """Return the phase of a connection; None if it is not open."""
        connection = self._connections.get(key)
        return None if connection is None else connection.phase

    def add(self, key: Hashable, now: float) -> None:
        """Add a new connection.

        Parameters
        ----------
        key : hashable
            The connection.
        now : float
            Monotonic time in seconds.
        """
        self._connections[key] = _Connection(now)
        self._by_phase[ConnectionPhase.FRESH][key] = None

    def remove(self, key: Hashable) -> None:
        """Remove a connection that is closed."""
        connection = self._connections.pop(key, None)
        if connection is not None:
            del self._by_phase[connection.phase][key]
            self._unprocessed -= connection.unprocessed

    def receive(self, key: Hashable, size: int, now: float) -> None:
        """Note that `size` bytes have arrived on a connection."""
        connection = self._connections.get(key)
        if connection is None:
            return
        if connection.phase in (ConnectionPhase.FRESH, ConnectionPhase.RESTING):
            connection.head_since = now
            self._enter(key, connection, ConnectionPhase.HEAD, now)
        elif connection.phase is ConnectionPhase.RUNNING:
            self._enter(key, connection, ConnectionPhase.AHEAD, now)
        else:
            connection.changed_at = now
            self._by_phase[connection.phase].move_to_end(key)
        memory = size
        if connection.phase is ConnectionPhase.HEAD:
            memory *= BYTES_PER_HEAD_BYTE
        connection.unprocessed += memory
        self._unprocessed += memory

    def begin(self, key: Hashable, has_body: bool, now: float) -> None:
        """Note that a request begins to be handled, whose body may still be arriving."""
        connection = self._connections.get(key)
        if connection is not None:
            phase = ConnectionPhase.BODY if has_body else ConnectionPhase.RUNNING
            self._enter(key, connection, phase, now)

    def body_ended(self, key: Hashable, now: float) -> None:
        """Note that the body of the request that is handled has arrived whole."""
        connection = self._connections.get(key)
        if connection is not None and connection.phase is ConnectionPhase.BODY:
            self._enter(key, connection, ConnectionPhase.RUNNING, now)

    def process(self, key: Hashable, left: int) -> None:
        """Note that what has arrived on a connection is processed, but for `left` bytes."""
        connection = self._connections.get(key)
        if connection is not None and connection.unprocessed > left:
            self._unprocessed -= connection.unprocessed - left
            connection.unprocessed = left

    def rest(self, key: Hashable, now: float) -> None:
        """Note that a request has ended."""
        connection = self._connections.get(key)
        if connection is not None:
            phase = ConnectionPhase.HEAD if connection.unprocessed else ConnectionPhase.RESTING
            connection.head_since = now
            self._enter(key, connection, phase, now)

    def least_useful(self, now: float) -> Hashable | None:
        """Return the connection to be closed first for others; None if all are in use.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        for phase in _CLOSING_ORDER:
            key = next(iter(self._by_phase[phase]), None)
            if key is not None and now - self._connections[key].changed_at >= MIN_IDLE_S:
                return key
        return None

    def late_heads(self, now: float, timeout_s: float) -> list[Hashable]:
        """Return the connections whose head has not ended within `timeout_s` seconds."""
        heads = self._by_phase[ConnectionPhase.HEAD]
        return [key for key in heads if now - self._connections[key].head_since > timeout_s]

    def _enter(
        self, key: Hashable, connection: _Connection, phase: ConnectionPhase, now: float
    ) -> None:
        del self._by_phase[connection.phase][key]
        connection.phase, connection.changed_at = phase, now
        self._by_phase[phase][key] = None
