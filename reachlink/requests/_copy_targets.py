"""Choice of replicas for copies of one generation's memory."""

from reachlink.requests._model import CallerRequest
from reachlink.requests._placement_query import PlacementPurpose
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.upstreams import Replica

# How long a replica that refused or evicted a generation's copy is avoided by the generation,
# in seconds: about the time until the other instances know of the lack of room.
AVOIDANCE_S = 0.4


class CopyTargets:
    """Chooses replicas for copies of one generation, avoiding those without room.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Chooses replicas.
    request : CallerRequest
        Request of the generation.
    """

    def __init__(self, dispatcher: RequestDispatcher, request: CallerRequest) -> None:
        self._dispatcher = dispatcher
        self._placer = dispatcher.placer
        self._request = request
        # Monotonic time in seconds until which each replica is avoided.
        self._avoided_until: dict[str, float] = {}

    def avoid(self, replica: Replica) -> None:
        """Avoid a replica for `AVOIDANCE_S` seconds."""
        self._avoided_until[replica.name] = self._dispatcher.now() + AVOIDANCE_S

    async def standing_copy(
        self, primary: Replica, excluded: set[str], used_tokens: int
    ) -> Replica | None:
        """Return the replica for a copy while the primary stays, if there is one.

        Parameters
        ----------
        primary : Replica
            Replica at which the generation runs.
        excluded : set of str
            Names of replicas that must not be chosen, besides the primary.
        used_tokens : int
            Memory that the generation takes now, in tokens.
        """
        near = self._placer.reachable.is_near(primary)
        purpose = PlacementPurpose.STANDING_COPY if near else PlacementPurpose.LOCAL_COPY
        return await self._place(primary, excluded, used_tokens, purpose)

    async def departure_copy(
        self, primary: Replica, excluded: set[str], used_tokens: int
    ) -> Replica | None:
        """Return the replica for a copy from a leaving primary, if there is one."""
        # Time is short, and a transfer within the zone takes half as long as to another zone.
        zone = primary.availability_zone
        return await self._place(
            primary, excluded, used_tokens, PlacementPurpose.DEPARTURE_COPY, zone
        )

    async def _place(
        self,
        primary: Replica,
        excluded: set[str],
        used_tokens: int,
        purpose: PlacementPurpose,
        zone: str = "",
    ) -> Replica | None:
        left_out = {primary.name, *excluded, *self._avoided()}
        return await self._placer.place_copy(self._request, left_out, used_tokens, purpose, zone)

    def _avoided(self) -> set[str]:
        now = self._dispatcher.now()
        still = {name: until for name, until in self._avoided_until.items() if until > now}
        self._avoided_until = still
        return set(still)
