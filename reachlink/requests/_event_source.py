"""A replica's answer that is read as a stream of events."""

from enum import Enum, auto

from reachlink.requests._answer_body import read_part, read_within
from reachlink.requests._generation_replicas import GenerationReplicas
from reachlink.requests._resumption import Resumption
from reachlink.upstreams import EventSplitter, RelayAnswer

# Time in seconds without an event after which a generation with a copy is to leave its replica.
# Longer than a sound replica may be silent, and below the silence after which callers leave.
MAX_SILENCE_S = 1.4
# Interval in seconds between two checks of a replica at which a generation waits for memory.
WAITING_CHECK_INTERVAL_S = 0.2
# Time in seconds for which bytes are read that arrived while this process stood still: the event
# loop runs the timers that are due before it reads.
ARRIVED_READ_S = 0.05


class StreamEnd(Enum):
    """How reading events from a replica has ended."""

    COMPLETE = auto()
    # The connection broke, or brought what is no event.
    BROKEN = auto()
    # The replica is silent and the generation may resume elsewhere; the connection is still open.
    SILENT = auto()


class EventSource:
    """Answer of one replica, with the bytes of its last, incomplete event.

    Parameters
    ----------
    answer : RelayAnswer
        Answer whose body has not been read yet.
    replicas : GenerationReplicas
        Replicas of the generation.
    resumption : Resumption
        Has the generation leave its primary.
    """

    def __init__(
        self, answer: RelayAnswer, replicas: GenerationReplicas, resumption: Resumption
    ) -> None:
        self._answer = answer
        self._replicas = replicas
        self._resumption = resumption
        self.splitter = EventSplitter()

    def close(self) -> None:
        """Close the connection, unless the answer was read to its end."""
        self._answer.close()

    async def read(self, begun: bool) -> bytes | None:
        """Return the next bytes; None once the generation is to resume elsewhere.

        Parameters
        ----------
        begun : bool
            Whether the caller has got an event. A replica may be silent for long before.
        """
        if not begun:
            return await read_part(self._answer)
        wait_s = MAX_SILENCE_S
        while (data := await read_within(self._answer, wait_s)) is None:
            wait_s = MAX_SILENCE_S
            if not self._may_leave():
                continue
            data = await read_within(self._answer, ARRIVED_READ_S)
            if data is not None:
                return data
            if await self._resumption.leaves_silent_primary():
                return None
            wait_s = WAITING_CHECK_INTERVAL_S
        return data

    def _may_leave(self) -> bool:
        """Return whether there may be a place where the generation can resume."""
        return self._replicas.has_arrived_copy or self._resumption.primary_has_stopped
