"""The control daemon, and the client side of what it offers."""

from reachlink.control._audit import check_chain
from reachlink.control._client import ControlClient
from reachlink.control._commands import (
    AuditRecord,
    ChangeRecord,
    ClaimCommand,
    ClaimResult,
    ClaimStatus,
    Command,
    CompleteCommand,
    EditCommand,
    EditResult,
    EditStatus,
    FenceCommand,
    FenceResult,
    NoteCommand,
    PublishCommand,
    PublishResult,
    PublishStatus,
    StoredAnswer,
    ZoneCommand,
    ZoneResult,
    ZoneStatus,
)
from reachlink.control._config import ControlConfig
from reachlink.control._daemon import ControlDaemon, found_cluster, founding_id
from reachlink.control._freshness import RequestFreshness
from reachlink.control._machine import ControlMachine
from reachlink.control._operator_bodies import OperatorBuffers, read_operator_body, refused_body
from reachlink.control._operator_http import OperatorHandlers
from reachlink.control._protocol import StatusAnswer, StatusRequest, WatchRequest
from reachlink.control._publishing import OPERATOR_BORDERS, OperatorTools, TablePublisher
from reachlink.control._zone_orders import Issuer, ZoneOrders
from reachlink.control.exceptions import (
    ControlError,
    ControlUnavailableError,
    OperatorError,
    OutcomeUnknownError,
    OutdatedRequestError,
    UnknownZoneError,
)


def main() -> None:
    """Run the command line."""
    # Loaded only here: a daemon that is started otherwise spares the library's
    # time and memory.
    from reachlink.control._main import main as run

    run()


__all__ = [
    "OPERATOR_BORDERS",
    "OperatorBuffers",
    "read_operator_body",
    "refused_body",
    "PublishCommand",
    "PublishResult",
    "PublishStatus",
    "TablePublisher",
    "AuditRecord",
    "ChangeRecord",
    "ClaimCommand",
    "ClaimResult",
    "ClaimStatus",
    "Command",
    "CompleteCommand",
    "ControlClient",
    "ControlConfig",
    "ControlDaemon",
    "ControlError",
    "ControlMachine",
    "ControlUnavailableError",
    "EditCommand",
    "EditResult",
    "EditStatus",
    "FenceCommand",
    "FenceResult",
    "Issuer",
    "NoteCommand",
    "OperatorError",
    "OperatorHandlers",
    "OperatorTools",
    "OutcomeUnknownError",
    "OutdatedRequestError",
    "RequestFreshness",
    "StatusAnswer",
    "StatusRequest",
    "StoredAnswer",
    "UnknownZoneError",
    "WatchRequest",
    "ZoneCommand",
    "ZoneOrders",
    "ZoneResult",
    "ZoneStatus",
    "check_chain",
    "found_cluster",
    "founding_id",
    "main",
]
