"""Interface to upstreams whose requests and answers are relayed as they are."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from reachlink.kernel import Registry
from reachlink.upstreams._base import LoadReport, LoadSample, Replica

Headers = list[tuple[str, str]]
"""Header fields in their order; names may repeat."""


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other prompts may share, with its size in tokens."""

    key: str
    tokens: int


@dataclass(slots=True, frozen=True)
class GenerationFacts:
    """What a request tells of the generation that it asks for; sizes in tokens.

    Attributes
    ----------
    model : str
        Model that must answer.
    prompt_tokens, max_output_tokens : int
        Size of the prompt, and the most that may be generated.
    parts : tuple of PromptPart
        Parts of the prompt in their order.
    expected_output_tokens : int
        The caller's guess, often far off; 0 for none.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int = 0


@dataclass(slots=True, frozen=True)
class MovedMemory:
    """Memory of a generation that waits at a replica to be continued.

    Attributes
    ----------
    source : str
        ``host:port`` of the replica that it was moved from.
    handle : str
        The replica's name for it; serves once.
    """

    source: str
    handle: str


class MoveFailure(Enum):
    """Why memory was not moved; the value is its code in logs."""

    NO_ROOM = "no_room"
    # The source carries out one order about a generation at a time.
    MOVE_IN_PROGRESS = "under_way"
    NOT_RUNNING = "not_running"


@dataclass(slots=True, frozen=True)
class MoveResult:
    """What came of moving a generation's memory.

    Attributes
    ----------
    memory : MovedMemory, optional
        From where the generation can go on; None where it was not found.
    arrived : bool
        Whether the target has it; else only a source that stopped can go on.
    failure : MoveFailure
        Why it has not arrived, where it has not.
    """

    memory: MovedMemory | None = None
    arrived: bool = False
    failure: MoveFailure = MoveFailure.NO_ROOM


@dataclass(slots=True, frozen=True)
class Continuation:
    """Where a generation goes on: after which event, and from which memory."""

    after_event: int
    memory: MovedMemory


@dataclass(slots=True)
class RelayRequest:
    """A request to be sent to one replica.

    Attributes
    ----------
    request_id : str
        The caller's name for it.
    method, target : str
        Method, and path with query, as they came.
    headers : list of tuple of str
        Fields to pass on.
    body : bytes
        Whole body.
    workspace : str
        Workspace that it is for; empty for none.
    priority : int
        0 is the most urgent.
    generation : GenerationFacts, optional
        For model engines.
    fingerprint : int
        The same for requests that are the same but for their names; 0 for none.
    admitted : bool
        Whether it has had its permit at the replica, where that has named a limit.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    workspace: str = ""
    priority: int = 5
    generation: GenerationFacts | None = None
    fingerprint: int = 0
    admitted: bool = False


@dataclass(slots=True)
class AnswerHead:
    """The start of a replica's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of tuple of str
        Fields to pass on to the caller.
    genuine : bool
        Whether it carries what every whole answer of a replica has.
    not_run : bool
        Whether the replica says that it did not run the request.
    misdirected : bool
        Whether another replica has the address by now: the one meant is gone.
    leaving : bool
        Whether the replica says that it leaves.
    closing : bool
        Whether it closes its connections, as those do that leave, and others now and then.
    load : LoadSample, optional
        Load of the replica.
    length : int
        Bytes of the body as the replica says; 0 where it does not.
    """

    status: int
    headers: Headers = field(default_factory=list)
    genuine: bool = True
    not_run: bool = False
    leaving: bool = False
    load: LoadSample | None = None
    misdirected: bool = False
    closing: bool = False
    length: int = 0

    @property
    def success(self) -> bool:
        """Whether the status tells of success."""
        return 200 <= self.status < 300


class RelayAnswer(ABC):
    """A replica's answer whose body is read as it arrives."""

    @property
    @abstractmethod
    def head(self) -> AnswerHead:
        """Start of the answer."""

    @abstractmethod
    async def read(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Raises
        ------
        UpstreamBrokenError
            If the body is cut off.
        """

    @abstractmethod
    def close(self) -> None:
        """Drop the answer, with its connection if the body was not read to its end."""


class RelayAdapter(ABC):
    """Speaks one wire protocol with replicas that requests are relayed to."""

    @property
    def unreadable_loads(self) -> int:
        """Loads told so far with a figure that could not be read."""
        return 0

    @abstractmethod
    async def open(
        self,
        replica: Replica,
        request: RelayRequest,
        left_s: float,
        continuation: Continuation | None = None,
        backup: Replica | None = None,
    ) -> RelayAnswer:
        """Dispatch a request at most once and return the start of its answer.

        Parameters
        ----------
        replica : Replica
            Where to; another replica that has its address now refuses.
        request : RelayRequest
            The request.
        left_s : float
            Time that the caller still waits, in seconds.
        continuation : Continuation, optional
            To go on with a generation that began elsewhere.
        backup : Replica, optional
            Replica that gets the generation's memory as it grows; from there it goes
            on by the name of the request.

        Raises
        ------
        UpstreamHeldBackError
            The replica has asked for a backoff, or gets as much as it takes; nothing was
            dispatched.
        UpstreamUnreachableError
            Nothing was dispatched.
        UpstreamBrokenError
            The request may have run.
        """

    @abstractmethod
    async def touch(self, replica: Replica) -> None:
        """Make sure that a replica is there, without giving it work.

        Raises
        ------
        UpstreamError
            There is no answer.
        """

    @abstractmethod
    async def report(self, replica: Replica) -> LoadReport:
        """Return the load report of a model engine."""

    @abstractmethod
    async def move(
        self, replica: Replica, request_id: str, target: Replica, last: bool
    ) -> MoveResult:
        """Copy a running generation's memory to another replica.

        A repeated call copies only what is new. With `last` the generation
        stops first, and its stream is closed without its end.

        Raises
        ------
        UpstreamError
            It is not known what came of it.
        """

    @abstractmethod
    async def release(self, memory: MovedMemory) -> None:
        """Free memory that was moved and is not needed."""


RELAY_ADAPTERS: Registry[Any] = Registry("relay adapter")
