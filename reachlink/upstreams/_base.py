"""Interfaces and data classes shared by all adapters."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Any

import msgspec

from reachlink.kernel import Registry
from reachlink.upstreams._features import RequestFeatures
from reachlink.upstreams._sends import SendRecord


@dataclass(slots=True, frozen=True)
class Replica:
    """One replica of an upstream.

    Attributes
    ----------
    name : str
        Name in the platform's list of replicas, unique among all upstreams.
    upstream : str
        Upstream that the replica belongs to.
    availability_zone : str
        Availability zone that the replica runs in.
    address : str
        ``host:port`` at which this process reaches the replica.
    """

    name: str
    upstream: str
    availability_zone: str
    address: str


@dataclass(slots=True, frozen=True)
class GenerationRequest:
    """A request for a generation, ready for dispatch.

    ``body`` is the caller's JSON body with the fields that reachlink sets.
    """

    request_id: str
    path: str
    body: bytes
    features: RequestFeatures = RequestFeatures()
    record: SendRecord = field(default_factory=SendRecord)


class TokenEvent(msgspec.Struct, frozen=True, gc=False):
    """One event of a generation.

    A `msgspec.Struct`, because one is created per token and its creation costs a third
    of that of a frozen data class.

    Offsets count up from 0 without gaps. The final event has the offset after the last
    token. ``data`` is the JSON text to pass on to the caller.
    """

    request_id: str
    generation: str
    offset: int
    final: bool
    data: bytes


@dataclass(slots=True, frozen=True)
class LoadSample:
    """Load that a replica reports with an answer.

    Attributes
    ----------
    running, waiting : int
        Numbers of running and of queued requests at the replica.
    slots : int
        Number of requests that the replica runs concurrently; 0 if not reported.
    pace : float, optional
        Current duration of work at the replica, as a multiple of the duration at the
        nominal pace; None if not reported.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load report of a replica; sizes in tokens.

    ``born`` is the start time of the replica in Unix milliseconds by its own clock; 0 if
    not reported. ``leaving`` is set by any sign that the replica is leaving.
    ``says_leaving`` is set if the replica itself announces it, which it does not revoke
    before it ends. ``load`` is the load sent with the report.
    """

    sequence: int = 0
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    kv_used_tokens: int = 0
    kv_capacity_tokens: int = 0
    max_batch: int = 0
    step_ms: float = 0.0
    leaving: bool = False
    # Time in seconds until the replica is removed; None if unknown.
    leaves_in_s: float | None = None
    preemptions: int = 0
    recomputed_tokens: int = 0
    models: tuple[str, ...] = ()
    role: str = ""
    fence: int = 0
    born: int = 0
    says_leaving: bool = False
    load: LoadSample | None = None


@dataclass(slots=True, frozen=True)
class CacheChange:
    """A block added to (``stored``) or removed from the prefix cache of an engine."""

    sequence: int
    stored: bool
    block: int


@dataclass(slots=True, frozen=True)
class GenerationInfo:
    """State of a generation at an engine."""

    generation: str
    request_id: str
    tokens: int
    finished: bool
    cancelled: bool
    attached: bool


@dataclass(slots=True, frozen=True)
class OrderRequest:
    """An order to an engine, with a fencing token (``fence``)."""

    order_id: str
    fence: int
    issuer: str
    action: str
    target: str


@dataclass(slots=True, frozen=True)
class OrderStatus:
    """State of an order at an engine: running, done, failed or refused."""

    order_id: str
    fence: int
    action: str
    target: str
    state: str
    reason: str = ""


@dataclass(slots=True, frozen=True)
class CallRequest:
    """A call to a plain service."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    features: RequestFeatures = RequestFeatures()
    record: SendRecord = field(default_factory=SendRecord)


@dataclass(slots=True, frozen=True)
class CallResponse:
    """The complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class TokenStream(ABC):
    """Stream of the events of one generation, read in batches as they arrive."""

    @property
    @abstractmethod
    def generation(self) -> str:
        """The generation's identifier at its engine."""

    @abstractmethod
    async def read(self) -> list[TokenEvent]:
        """Return the next events; an empty list at the end of the answer.

        Raises
        ------
        UpstreamBrokenError
            If the connection ends before the answer does.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection; the generation continues until it is cancelled."""


class ReportingAdapter(ABC):
    """Interface to replicas that report their load."""

    @abstractmethod
    async def load(self, replica: Replica) -> LoadReport:
        """Return the latest load report."""

    async def touch(self, replica: Replica) -> None:
        """Check that a replica responds, without giving it work.

        Raises
        ------
        UpstreamError
            If there is no answer.
        """
        await self.load(replica)


class EngineAdapter(ReportingAdapter):
    """Implements one wire protocol of model engines."""

    @abstractmethod
    async def open(self, replica: Replica, request: GenerationRequest) -> TokenStream:
        """Dispatch a request and return its stream.

        Raises
        ------
        UpstreamUnreachableError
            If no connection could be made; nothing was dispatched.
        UpstreamRefusedError
            If the engine refused the request and states that it did not run it.
        UpstreamInvalidError
            If the engine takes the request for an invalid one; it may have run.
        UpstreamBrokenError
            If the connection or the engine failed after dispatch; the request may have run.
        """

    @abstractmethod
    async def resume(self, replica: Replica, generation: str, offset: int) -> TokenStream:
        """Return the stream of a generation, starting at an offset.

        Raises
        ------
        GenerationUnknownError
            If the engine does not know the generation.
        """

    @abstractmethod
    async def find(self, replica: Replica, request_id: str) -> GenerationInfo:
        """Return the generation that serves a request."""

    @abstractmethod
    async def describe(self, replica: Replica, generation: str) -> GenerationInfo:
        """Return the state of a generation at the engine."""

    @abstractmethod
    async def cancel(self, replica: Replica, generation: str, if_detached: bool) -> None:
        """End a generation and free its memory.

        With `if_detached`, a generation whose stream is being read is left unchanged.
        """

    @abstractmethod
    async def cache_changes(self, replica: Replica, since: int) -> list[CacheChange]:
        """Return changes of the prefix cache after a sequence number; some may be missing."""

    @abstractmethod
    async def order(self, replica: Replica, order: OrderRequest) -> OrderStatus:
        """Send an order, or resend it with the same identifier."""

    @abstractmethod
    async def orders(self, replica: Replica) -> list[OrderStatus]:
        """Return the states of all orders known to the engine."""


class ServiceAdapter(ReportingAdapter):
    """Implements one wire protocol of plain services."""

    @abstractmethod
    async def call(self, replica: Replica, request: CallRequest) -> CallResponse:
        """Dispatch a call at most once and return the complete answer."""


ADAPTERS: Registry[Any] = Registry("upstream adapter")
