"""Where a running generation is, and where its memory is copied to.

A copy is kept in one of two ways: the replica itself sends memory to a backup
as the generation grows; or, where no backup is left, this instance has the
memory moved to another replica again and again (a shadow).
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
WATCH_S = 0.1
# Shortest expected output, in tokens, that is copied from the start: the long
# ones are worth most and are at risk longest, and memory is short.
COPY_FROM_TOKENS = 800
# Shortest one that is copied when its replica leaves: a shorter one ends first.
RESCUE_FROM_TOKENS = 100


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
        self._no_room: set[str] = set()

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
        """Copy the generation elsewhere where its copy is about to be lost."""
        while True:
            await asyncio.sleep(WATCH_S)
            if self._is_shadowed() or not self._needs_shadow():
                continue
            self._drop_shadow()
            self._begin_shadow()

    def _is_shadowed(self) -> bool:
        if self._shadow is None:
            return False
        if self._shadow.failed:
            self._no_room.add(self._shadow.target.name)
            return False
        return self._placing.stays(self._shadow.target)

    def _needs_shadow(self) -> bool:
        """Return whether no replica that stays has a copy of the generation."""
        engine = self._request.service.engine
        if self._home is None or self._joint.last < 0 or engine is None or not engine.moves:
            return False
        if self._copy is not None and self._placing.stays(self._copy.replica):
            return False
        stays = self._placing.stays(self._home.replica)
        return self._is_longer_than(COPY_FROM_TOKENS if stays else RESCUE_FROM_TOKENS)

    def _begin_shadow(self) -> None:
        home = self.home
        home_stays = self._placing.stays(home)
        excluded = {home.name, *self._no_room}
        if self._copy is not None:
            excluded.add(self._copy.replica.name)
        if home_stays:
            target = self._placing.place(self._request, excluded, self._copy_terms(home))
        else:
            # Time is short, and within the replica's zone a copy takes half of it.
            zone = home.availability_zone
            target = self._placing.place(self._request, excluded, RESCUE, zone)
        if target is None:
            self._no_room.clear()
            return
        self._dispatch.log.info(
            "generation_shadowed",
            request_id=self._request.request_id,
            source=home.name,
            target=target.name,
            copy=self._copy.replica.name if self._copy else "",
            home_stays=home_stays,
            after_event=self._joint.last,
        )
        self._shadow_place = self._occupy(target, copy=True)
        self._shadow = Shadow(
            self._dispatch.adapter, self._request.request_id, home, target, self._dispatch.log
        )

    def _drop_shadow(self) -> None:
        if self._shadow is not None:
            self._shadow.abandon()
        self._shadow = None
        self._free(self._shadow_place)
        self._shadow_place = None

    def _is_longer_than(self, tokens: int) -> bool:
        """Return whether more output than that is expected, or has come already."""
        facts = self._request.relay.generation
        engine = self._request.service.engine
        if facts is None or engine is None:
            return False
        expected = facts.expected_output_tokens or facts.max_output_tokens
        made = self._joint.last * engine.tokens_per_event
        return max(made, min(expected, facts.max_output_tokens)) >= tokens

    def _choose_copy(self, excluded: set[str], before: Replica | None = None) -> _Place | None:
        """Choose where the generation's memory is copied as it grows, if anywhere.

        The replica that it comes from is as good as any while it stays.
        """
        engine = self._request.service.engine
        if engine is None or not engine.backups:
            return None
        if not self._is_longer_than(COPY_FROM_TOKENS):
            return None
        home = self.home
        if before is not None and self._may_keep_copy(before, home):
            return self._occupy(before, copy=True)
        found = self._placing.place(
            self._request, {home.name, *excluded}, terms=self._copy_terms(home)
        )
        return self._occupy(found, copy=True) if found is not None else None

    def _may_keep_copy(self, before: Replica, home: Replica) -> bool:
        """Return whether the replica that a generation comes from may have its copy."""
        if before.name == home.name or not self._placing.stays(before):
            return False
        return self._placing.is_near(before) or self._placing.is_near(home)

    def _copy_terms(self, home: Replica) -> Terms:
        return COPY if self._placing.is_near(home) else COPY_HOME

    def _occupy(self, replica: Replica, reads: bool = False, copy: bool = False) -> _Place:
        return _Place(replica, self._dispatch.add_flight(self._request, replica, reads, copy))

    def _free(self, place: _Place | None) -> None:
        if place is not None:
            self._dispatch.remove_flight(place.replica, place.flight)
