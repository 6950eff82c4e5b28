"""Servers whose callers together take a bounded part of a process: connections, heads, bodies."""

from reachlink.ingress._answers import answer_bytes, write_read
from reachlink.ingress._connection_table import ConnectionPhase, ConnectionTable
from reachlink.ingress._incoming_bodies import BodyContent, BodyLimits, IncomingBodies
from reachlink.ingress._json_values import (
    FEW_JSON_VALUES,
    JSON_VALUE_BYTES,
    MAX_JSON_VALUES,
    count_json_values,
)
from reachlink.ingress._limits import (
    MAX_PEER_MESSAGE_BYTES,
    PROBE_LIMITS,
    IngressLimits,
    buffer_bytes,
    caller_limits,
    machine_memory_mb,
    peer_connections,
)
from reachlink.ingress._server import (
    READ_AHEAD_BYTES,
    BoundedAppRunner,
    BoundedRequestHandler,
    BoundedServer,
    limit_receive_buffer,
    listening_socket,
    note_body_read,
)
from reachlink.ingress.exceptions import (
    BodyOverBudgetError,
    BodyTooLargeError,
    BodyTooSlowError,
    IngressError,
)

__all__ = [
    "FEW_JSON_VALUES",
    "JSON_VALUE_BYTES",
    "MAX_JSON_VALUES",
    "MAX_PEER_MESSAGE_BYTES",
    "PROBE_LIMITS",
    "READ_AHEAD_BYTES",
    "BodyContent",
    "BodyLimits",
    "BodyOverBudgetError",
    "BodyTooLargeError",
    "BodyTooSlowError",
    "BoundedAppRunner",
    "BoundedRequestHandler",
    "BoundedServer",
    "ConnectionPhase",
    "ConnectionTable",
    "IncomingBodies",
    "IngressError",
    "IngressLimits",
    "answer_bytes",
    "buffer_bytes",
    "caller_limits",
    "count_json_values",
    "limit_receive_buffer",
    "listening_socket",
    "machine_memory_mb",
    "note_body_read",
    "peer_connections",
    "write_read",
]
