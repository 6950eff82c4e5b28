"""Orders about availability zones in the replicated state; pure."""

from reachlink.control._commands import AuditRecord, ChangeRecord, ZoneCommand, ZoneStatus
from reachlink.settings import ZoneOrder


def status_of(command: ZoneCommand, held: ZoneOrder | None) -> ZoneStatus:
    """Return what becomes of an order, with the last one about its zone.

    One that asks for what is in force already changes nothing, so that it may be sent
    again at will. One that was given on an older order than the last is overtaken: a
    connection that was silent can deliver it seconds after the order that took it back.
    """
    out_now = held is not None and held.out_of_service
    if command.out_of_service == out_now:
        return ZoneStatus.HELD
    newest = held.revision if held is not None else 0
    return ZoneStatus.ACCEPTED if command.base == newest else ZoneStatus.OVERTAKEN


def new_order(command: ZoneCommand, revision: int) -> ZoneOrder:
    """Return the order that a command makes at a revision."""
    return ZoneOrder(command.out_of_service, revision, command.at, command.author, command.reason)


def zone_record(command: ZoneCommand, revision: int, changes: list[ChangeRecord]) -> AuditRecord:
    """Return what the audit trail keeps of an order that was accepted."""
    return AuditRecord(
        sequence=0,
        at=command.at,
        action="zone",
        author=command.author,
        source=command.source,
        edit_id="",
        revision=revision,
        accepted=True,
        reason=command.reason,
        changes=changes,
    )
