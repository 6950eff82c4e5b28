"""Keeps the membership of the control instances in order, and announces this one."""

import asyncio
from collections.abc import Callable

from reachlink.agreement import (
    AgreementError,
    Candidate,
    ReplicaService,
    next_membership,
)
from reachlink.control._protocol import (
    CHANNEL_CONTROL,
    AnnounceAnswer,
    AnnounceRequest,
    Answer,
)
from reachlink.control._server import ControlServer
from reachlink.messaging import Bus, MessagingError, decode, encode
from reachlink.telemetry import get_logger

# How often a leader looks whether the membership should change, in seconds.
STEP_S = 0.1
# How often control instances tell each other who watches them, in seconds.
ROSTER_S = 0.5
# How long one change of the membership may take, in seconds.
CHANGE_TIMEOUT_S = 2.0
# How often an instance announces itself, in seconds: until it is a member, and from then on.
ANNOUNCE_FIRST_S = 0.15
ANNOUNCE_MEMBER_S = 1.0
# How long one instance may take to answer an announcement, in seconds.
ANNOUNCE_TIMEOUT_S = 0.5


class Steward:
    """Changes the membership while its instance leads; announces it while it does not.

    Parameters
    ----------
    own : Candidate
        This instance.
    service : ReplicaService
        Its replica of the log.
    server : ControlServer
        Knows who announced itself.
    bus : Bus
        For announcing.
    seeds : callable
        Returns addresses where control instances may be found.
    wanted_voters : int
        How many voters there should be; odd.
    """

    def __init__(
        self,
        own: Candidate,
        service: ReplicaService,
        server: ControlServer,
        bus: Bus,
        seeds: Callable[[], list[str]],
        wanted_voters: int,
    ) -> None:
        self._own = own
        self._service = service
        self._server = server
        self._bus = bus
        self._seeds = seeds
        self._wanted = wanted_voters
        self._log = get_logger()

    async def run(self) -> None:
        """Work until cancelled."""
        await asyncio.gather(self._keep_membership(), self._announce(), self._tell_roster())

    async def _tell_roster(self) -> None:
        while True:
            await asyncio.sleep(ROSTER_S)
            self._server.tell_roster()

    async def _keep_membership(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            if not self._service.core.is_leader:
                continue
            try:
                await self._step()
            except AgreementError as error:
                self._log.info("membership_unchanged", reason=str(error))

    async def _step(self) -> None:
        state = self._service.core.state
        members = next_membership(
            state.members,
            state.node_id,
            self._service.member_health(),
            self._server.candidates(),
            self._wanted,
        )
        if members is None:
            return
        shown = ",".join(f"{m.node_id}{'' if m.voting else '?'}" for m in members)
        self._log.info("membership_changes", members=shown, term=state.term)
        await self._service.change_members(members, CHANGE_TIMEOUT_S)

    async def _announce(self) -> None:
        while True:
            member = await self._announce_once()
            await asyncio.sleep(ANNOUNCE_MEMBER_S if member else ANNOUNCE_FIRST_S)

    async def _announce_once(self) -> bool:
        """Tell the leader, through whoever is in reach; return whether it has what it needs."""
        if self._service.core.is_leader:
            self._server.note_candidate(self._own)
            return True
        for address in self._addresses():
            request = AnnounceRequest(
                self._own.node_id, self._own.address, self._own.availability_zone
            )
            try:
                raw = await self._bus.call(
                    address, CHANNEL_CONTROL, encode(request), ANNOUNCE_TIMEOUT_S
                )
                answer: Answer = decode(raw, Answer)  # type: ignore[arg-type]
            except MessagingError:
                # The next address may know the leader; the round is repeated in any case.
                continue
            if isinstance(answer, AnnounceAnswer):
                return answer.member
        return False

    def _addresses(self) -> list[str]:
        """Return whom to ask: the leader, then members, then seeds."""
        state = self._service.core.state
        leader = [m.address for m in state.members if m.node_id == state.leader]
        others = [m.address for m in state.members]
        found = dict.fromkeys([*leader, *others, *self._seeds()])
        return [address for address in found if address != self._own.address]
