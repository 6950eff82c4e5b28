"""Where a running generation is, and where its memory is copied to.

A copy is kept in one of two ways: this instance has the memory moved to
another replica again and again (a shadow), which it can take back where room
is needed; or, where replicas cannot do that, the replica itself sends memory
to a backup as the generation grows.
"""

import asyncio
from dataclasses import dataclass

from reachlink.requests._book import Flight
from reachlink.requests._choice import COPY, COPY_HOME, RESCUE, Terms
from reachlink.requests._dispatch import Dispatch
from reachlink.requests._joint import Joint
from reachlink.requests._model import CallerRequest
from reachlink.requests._shadow import Shadow
from reachlink.upstreams import MovedMemory, Replica

# How often a stream looks whether its replicas stay, in seconds.
WATCH_S = 0.05
# Shortest output, in tokens, that is copied while its replica stays: a shorter
# one ends within two seconds, so that it is seldom hit.
COPY_FROM_TOKENS = 200
# Shortest one that is copied when its replica leaves: a shorter one ends first.
RESCUE_FROM_TOKENS = 100
# How long a replica that has refused a copy, or where one had to give way, is
# left alone, in seconds: about what it takes until the others know of it.
NO_ROOM_S = 0.4
# How much later the next generation of a leaving replica is copied, in seconds:
# long enough that the orders arrive one after the other, so that what is worth
# most goes first.
EVACUATION_STEP_S = 0.03
# Chance that a copy is begun at one look, where nothing else forbids it: the
# others hear of it before most of them look again.
BEGIN_SHARE = 0.2
# How long after a copy could not be ordered the next one is, in seconds: the
# source does not answer, or its zone is cut off.
SOURCE_SILENT_S = 1.0
# What it takes to make a token again, counted in tokens of prompt.
OUTPUT_WEIGHT = 10
# A generation in another zone is lost with its replica or with the way there.
FAR_RISK = 2
# A generation that goes on for this many tokens or more is at full risk: about
# as many as come between two notices.
RISK_TOKENS = 330
# Beyond the output that was expected, this share of what has come already is
# expected to follow.
MORE_SHARE = 0.25


@dataclass(slots=True)
class _Place:
    """A replica that carries a generation or a copy of it."""

    replica: Replica
    flight: Flight


class GenerationPlaces:
    """The replicas of one generation: its home, its backup and its shadow.

    Parameters
    ----------
    dispatch : Dispatch
        Chooses replicas and keeps account of what is there.
    request : CallerRequest
        Request that the generation serves.
    joint : Joint
        Knows how far the generation has come.
    """

    def __init__(self, dispatch: Dispatch, request: CallerRequest, joint: Joint) -> None:
        self._dispatch = dispatch
        self._placing = dispatch.placing
        self._request = request
        self._joint = joint
        self._home: _Place | None = None
        self._copy: _Place | None = None
        self._shadow: Shadow | None = None
        self._shadow_place: _Place | None = None
        self._no_room: dict[str, float] = {}
        self._leaving_since: float | None = None
        self._not_before = 0.0

    @property
    def home(self) -> Replica:
        """Where the generation runs; it must have begun."""
        assert self._home is not None
        return self._home.replica

    @property
    def copy(self) -> Replica | None:
        """The backup that the home itself sends memory to."""
        return self._copy.replica if self._copy is not None else None

    @property
    def shadow(self) -> Replica | None:
        """Where this instance has the memory copied to."""
        return self._shadow_place.replica if self._shadow_place is not None else None

    @property
    def has_copy(self) -> bool:
        """Whether the generation may go on elsewhere."""
        return self._copy is not None or self._shadow is not None

    def begin(self, replica: Replica) -> None:
        """Begin at a replica, with a backup where there is need and room for one."""
        self._home = self._occupy(replica, reads=True)
        self._copy = self._choose_copy(set())

    def move_to(self, target: Replica) -> Replica:
        """Make a replica the home, with a new backup; return the home before."""
        lost = self._home
        assert lost is not None
        self._free(lost)
        self._free(self._copy)
        self._drop_shadow()
        self._home = self._occupy(target)
        self._leaving_since = None
        self._copy = self._choose_copy({target.name}, lost.replica)
        return lost.replica

    def note_prompt_read(self) -> None:
        """Note that the home has read the prompt."""
        assert self._home is not None
        self._dispatch.has_read(self._home.flight)

    def leave(self) -> None:
        """Free every replica."""
        self._drop_shadow()
        self._free(self._home)
        self._free(self._copy)

    async def continuations(self) -> list[tuple[Replica, MovedMemory]]:
        """Return where the generation may go on, the best first."""
        found: list[tuple[Replica, MovedMemory]] = []
        if self._shadow is not None and self._shadow_place is not None:
            memory = await self._shadow.take()
            if memory is not None:
                found.append((self._shadow_place.replica, memory))
            self._shadow = None
        if self._copy is not None:
            replica = self._copy.replica
            found.append((replica, MovedMemory(replica.address, self._request.request_id)))
        return found

    async def watch(self) -> None:
        """Keep a copy of the generation at a replica that stays."""
        while True:
            await asyncio.sleep(WATCH_S)
            if self._home is None or self._joint.last < 0:
                continue
            leaving = self._note_leaving()
            if self._shadow is not None and not self._may_keep_shadow(leaving):
                self._drop_shadow()
            self._note_cover()
            if self._shadow is None and self._needs_shadow(leaving) and self._is_due():
                self._begin_shadow(leaving)

    def _note_leaving(self) -> bool:
        """Return whether the home leaves, and note since when."""
        if self._placing.stays(self.home):
            self._leaving_since = None
            return False
        if self._leaving_since is None:
            self._leaving_since = self._dispatch.now()
        return True

    def _note_cover(self) -> None:
        """Note whether another replica has a copy, for the order of an evacuation."""
        assert self._home is not None
        flight = self._home.flight
        flight.stake = self._stake()
        if self._shadow is not None and self._shadow_place is not None:
            self._shadow_place.flight.arriving = not self._shadow.arrived
        covered = self._copy is not None or (self._shadow is not None and self._shadow.arrived)
        flight.uncovered = not covered and self._remaining_tokens() >= RESCUE_FROM_TOKENS

    def _is_due(self) -> bool:
        """Return whether it is this generation's turn to be copied."""
        now = self._dispatch.now()
        if now < self._not_before:
            return False
        if self._leaving_since is None:
            # Not all at the same moment, when a replica has come.
            return self._dispatch.draw() < BEGIN_SHARE
        assert self._home is not None
        rank = self._placing.evacuation_rank(self._home.replica, self._home.flight)
        return now >= self._leaving_since + rank * EVACUATION_STEP_S

    def _may_keep_shadow(self, leaving: bool) -> bool:
        """Return whether the shadow is still of use, and what it takes not needed elsewhere."""
        assert self._shadow is not None and self._shadow_place is not None
        flight = self._shadow_place.flight
        target = self._shadow.target
        if self._shadow.failed:
            if self._shadow.refused:
                self._avoid(target)
            else:
                self._not_before = self._dispatch.now() + SOURCE_SILENT_S
            return False
        if leaving:
            # Both may leave: the copy that is there is better than none.
            self._dispatch.hold(flight)
            self._shadow.hurry()
            return self._placing.stays(target) or self._shadow.arrived
        if not self._placing.stays(target):
            return False
        flight.stake = self._stake()
        if not self._placing.must_give_way(self._request.service, target, flight):
            return True
        self._avoid(target)
        self._dispatch.log.info(
            "copy_gives_way",
            request_id=self._request.request_id,
            target=target.name,
            stake=flight.stake,
        )
        return False

    def _needs_shadow(self, leaving: bool) -> bool:
        """Return whether no replica that stays has a copy of the generation."""
        engine = self._request.service.engine
        if engine is None or not engine.moves:
            return False
        if self._copy is not None and self._placing.stays(self._copy.replica):
            return False
        if not leaving and self._placing.evacuating(self._request.service):
            return False
        return self._remaining_tokens() >= (RESCUE_FROM_TOKENS if leaving else COPY_FROM_TOKENS)

    def _place_copy(self, excluded: set[str], terms: Terms, zone: str = "") -> Replica | None:
        service = self._request.service
        return self._placing.place_copy(service, excluded, self._used_tokens(), terms, zone)

    def _avoid(self, replica: Replica) -> None:
        self._no_room[replica.name] = self._dispatch.now() + NO_ROOM_S

    def _avoided(self) -> set[str]:
        now = self._dispatch.now()
        self._no_room = {name: until for name, until in self._no_room.items() if until > now}
        return set(self._no_room)

    def _begin_shadow(self, leaving: bool) -> None:
        home = self.home
        excluded = {home.name, *self._avoided()}
        if self._copy is not None:
            excluded.add(self._copy.replica.name)
        if leaving:
            # Time is short, and within the replica's zone a copy takes half of it.
            zone = home.availability_zone
            target = self._place_copy(excluded, RESCUE, zone)
        else:
            target = self._place_copy(excluded, self._copy_terms(home))
        if target is None:
            return
        self._dispatch.log.info(
            "generation_shadowed",
            request_id=self._request.request_id,
            source=home.name,
            target=target.name,
            copy=self._copy.replica.name if self._copy else "",
            home_stays=not leaving,
            after_event=self._joint.last,
            replicas=self._placing.shown(self._request.service, set()),
        )
        self._shadow_place = self._occupy(target, copy=True)
        flight = self._shadow_place.flight
        flight.gives_way, flight.stake = not leaving, self._stake()
        flight.arriving = True
        self._shadow = Shadow(
            self._dispatch.adapter, self._request.request_id, home, target, self._dispatch.log
        )

    def _drop_shadow(self) -> None:
        if self._shadow is not None:
            self._shadow.abandon()
        self._shadow = None
        self._free(self._shadow_place)
        self._shadow_place = None

    def note_progress(self) -> None:
        """Note how much memory the generation takes by now."""
        used = self._used_tokens()
        for place in (self._home, self._copy, self._shadow_place):
            if place is not None:
                place.flight.used_tokens = used

    def _used_tokens(self) -> int:
        """Return the memory that the generation takes now, in tokens."""
        return self._request.prompt_tokens + self._made_tokens()

    def _made_tokens(self) -> int:
        engine = self._request.service.engine
        return max(0, self._joint.last) * engine.tokens_per_event if engine else 0

    def _remaining_tokens(self) -> int:
        """Return how much output is expected to come yet, in tokens."""
        facts = self._request.relay.generation
        if facts is None:
            return 0
        expected = facts.expected_output_tokens or facts.max_output_tokens
        made = self._made_tokens()
        most = max(0, facts.max_output_tokens - made)
        return min(most, max(expected - made, round(made * MORE_SHARE)))

    def _stake(self) -> int:
        """Return what would be lost with the generation, by how long it is at risk."""
        remaining = self._remaining_tokens()
        output = self._made_tokens() + remaining
        work = self._request.prompt_tokens + OUTPUT_WEIGHT * output
        risk = 1 if self._home is None or self._placing.is_near(self.home) else FAR_RISK
        return risk * work * min(remaining, RISK_TOKENS) // RISK_TOKENS

    def _choose_copy(self, excluded: set[str], before: Replica | None = None) -> _Place | None:
        """Choose where the generation's memory is copied as it grows, if anywhere.

        The replica that it comes from is as good as any while it stays.
        """
        engine = self._request.service.engine
        if engine is None or not engine.backups or engine.moves:
            return None
        if self._remaining_tokens() < COPY_FROM_TOKENS:
            return None
        home = self.home
        if before is not None and self._may_keep_copy(before, home):
            return self._occupy(before, copy=True)
        found = self._place_copy({home.name, *excluded}, self._copy_terms(home))
        return self._occupy(found, copy=True) if found is not None else None

    def _may_keep_copy(self, before: Replica, home: Replica) -> bool:
        """Return whether the replica that a generation comes from may have its copy."""
        if before.name == home.name or not self._placing.stays(before):
            return False
        return self._placing.is_near(before) or self._placing.is_near(home)

    def _copy_terms(self, home: Replica) -> Terms:
        return COPY if self._placing.is_near(home) else COPY_HOME

    def _occupy(self, replica: Replica, reads: bool = False, copy: bool = False) -> _Place:
        flight = self._dispatch.add_flight(self._request, replica, reads, copy)
        flight.used_tokens = self._used_tokens()
        return _Place(replica, flight)

    def _free(self, place: _Place | None) -> None:
        if place is not None:
            self._dispatch.remove_flight(place.replica, place.flight)
