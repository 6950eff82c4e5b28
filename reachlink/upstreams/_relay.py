"""Interface to upstreams whose requests and answers are relayed unchanged."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from reachlink.kernel import Registry
from reachlink.upstreams._base import LoadReport, LoadSample, Replica
from reachlink.upstreams._features import RequestFeatures
from reachlink.upstreams._sends import SendRecord
from reachlink.upstreams._statuses import NOT_RUN_STATUSES

Headers = list[tuple[str, str]]
"""Header fields in order of arrival; a name may occur more than once."""


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other prompts may share, with its size in tokens."""

    key: str
    tokens: int


@dataclass(slots=True, frozen=True)
class GenerationFacts:
    """Parameters of a requested generation; sizes in tokens.

    Attributes
    ----------
    model : str
        Name of the requested model.
    prompt_tokens, max_output_tokens : int
        Size of the prompt, and the limit on the generated output.
    parts : tuple of PromptPart
        Parts of the prompt in order.
    expected_output_tokens : int
        The caller's estimate of the output, often inaccurate; 0 if there is none.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int = 0


@dataclass(slots=True, frozen=True)
class MovedMemory:
    """KV memory of a generation, held at a replica until the generation resumes.

    Attributes
    ----------
    source : str
        ``host:port`` of the replica that the memory is moved from.
    handle : str
        Identifier that the source assigns to the memory; valid for one use.
    """

    source: str
    handle: str


class MoveFailure(Enum):
    """Reason why a transfer of memory failed; the value appears in log lines."""

    NO_ROOM = "no_room"
    # The source executes only one move of a generation at a time.
    MOVE_IN_PROGRESS = "under_way"
    NOT_RUNNING = "not_running"


@dataclass(slots=True, frozen=True)
class MoveResult:
    """Result of an attempt to move a generation's memory.

    Attributes
    ----------
    memory : MovedMemory, optional
        Memory from which the generation can resume; None if there is none.
    arrived : bool
        Whether the target has received the memory. If it has not, the generation can
        resume only at the source, and only if the source has stopped it.
    failure : MoveFailure
        Reason why the transfer failed; only meaningful if `arrived` is False.
    """

    memory: MovedMemory | None = None
    arrived: bool = False
    failure: MoveFailure = MoveFailure.NO_ROOM


@dataclass(slots=True, frozen=True)
class Continuation:
    """Number of the last event before a generation resumes, and the memory it resumes from."""

    after_event: int
    memory: MovedMemory


@dataclass(slots=True)
class RelayRequest:
    """A request to be relayed to one replica.

    Attributes
    ----------
    request_id : str
        Identifier of the request.
    method, target : str
        HTTP method, and path with query, as received from the caller.
    headers : list of tuple of str
        Header fields to relay.
    body : bytes
        Complete body.
    workspace : str
        Workspace of the request; empty if there is none.
    priority : int
        Priority; 0 is the most urgent.
    generation : GenerationFacts, optional
        Parameters of the generation; None for requests to plain services.
    features : RequestFeatures
        Digests of the request and of what it shares with others.
    admitted : bool
        Whether the request already has a permit, for replicas that advertise a rate limit.
    record : SendRecord
        Where the request was sent so far.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    workspace: str = ""
    priority: int = 5
    generation: GenerationFacts | None = None
    features: RequestFeatures = RequestFeatures()
    admitted: bool = False
    record: SendRecord = field(default_factory=SendRecord)


@dataclass(slots=True)
class AnswerHead:
    """Status and header fields of a replica's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of tuple of str
        Header fields to pass on to the caller.
    genuine : bool
        Whether the header fields identify an answer that comes unchanged from a replica.
    not_run : bool
        Whether the replica reports that it did not run the request.
    misdirected : bool
        Whether the address belongs to another replica by now; the intended one is gone.
    leaving : bool
        Whether the replica reports that it is leaving.
    closing : bool
        Whether the replica closes the connection. Leaving replicas do so, others occasionally.
    load : LoadSample, optional
        Load reported with the answer.
    length : int
        Size of the body in bytes as announced by the replica; 0 if not announced.
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
        """Whether the status is a success (2xx)."""
        return 200 <= self.status < 300

    @property
    def is_unconfirmed_refusal(self) -> bool:
        """Whether the status promises that the request has not run, and the replica does not."""
        return self.status in NOT_RUN_STATUSES and not self.not_run


class RelayAnswer(ABC):
    """A replica's answer, with a body that is read as it arrives."""

    @property
    @abstractmethod
    def head(self) -> AnswerHead:
        """Status and header fields of the answer."""

    @abstractmethod
    async def read(self) -> bytes:
        """Return the next bytes of the body, or no bytes at its end.

        Raises
        ------
        UpstreamBrokenError
            If the connection ends before the body does.
        """

    @abstractmethod
    def close(self) -> None:
        """Discard the answer; closes the connection if the body is not fully read."""


class RelayAdapter(ABC):
    """Implements one wire protocol of replicas that requests are relayed to."""

    @property
    def unreadable_loads(self) -> int:
        """Number of received loads with a field that could not be parsed."""
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
        """Dispatch a request at most once and return the answer with its body unread.

        Parameters
        ----------
        replica : Replica
            Target replica. If its address belongs to another replica by now, that
            replica refuses the request.
        request : RelayRequest
            Request to send.
        left_s : float
            Time in seconds until the caller's deadline.
        continuation : Continuation, optional
            Event and memory to resume from, for a generation that began elsewhere.
        backup : Replica, optional
            Replica that receives a copy of the generation's memory as it grows. The
            generation can resume there under the identifier of the request.

        Raises
        ------
        UpstreamHeldBackError
            If the replica has asked for a backoff or its rate limit is reached; nothing
            was dispatched.
        UpstreamUnreachableError
            If no connection could be made; nothing was dispatched.
        UpstreamBrokenError
            If the connection failed after dispatch; the request may have run.
        """

    @abstractmethod
    async def touch(self, replica: Replica) -> None:
        """Check that a replica responds, without giving it work.

        Raises
        ------
        UpstreamError
            If there is no answer.
        """

    @abstractmethod
    async def report(self, replica: Replica) -> LoadReport:
        """Return the load report of a model engine."""

    @abstractmethod
    async def move(
        self, replica: Replica, request_id: str, target: Replica, last: bool
    ) -> MoveResult:
        """Copy a running generation's memory to another replica.

        A repeated call copies only the memory added since the previous one. With `last`,
        the generation stops first, and its stream is closed before its final event.

        Raises
        ------
        UpstreamError
            If the result of the move is unknown.
        """

    @abstractmethod
    async def release(self, memory: MovedMemory) -> None:
        """Free moved memory that is no longer needed."""


RELAY_ADAPTERS: Registry[Any] = Registry("relay adapter")
