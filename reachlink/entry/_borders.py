"""Callers' interfaces that relay requests, as plug-ins."""

import socket
from abc import ABC, abstractmethod
from collections.abc import Set
from typing import Any, Protocol

from reachlink.entry._caller_connections import CallerConnections
from reachlink.entry._connection_aborts import ConnectionAbort
from reachlink.entry._final_answers import FinalAnswers
from reachlink.entry._readers import CallerReaders
from reachlink.entry._settings_confirmation import SettingsConfirmation
from reachlink.ingress import IncomingBodies, IngressLimits
from reachlink.kernel import Registry
from reachlink.limits import BufferBudget
from reachlink.quarantine import Fingerprinter
from reachlink.requests import RequestRunner
from reachlink.routing import RequestKind, RoutingIndex


class RelayHost(Protocol):
    """What a callers' interface needs of its entry instance."""

    @property
    def index(self) -> RoutingIndex | None:
        """The routing table that requests are decided by, or None before there is one."""

    async def first_index(self, patience_s: float) -> RoutingIndex | None:
        """Return that table, waiting for the first one for some time."""

    @property
    def confirmation(self) -> SettingsConfirmation:
        """When the table in force was last confirmed to be the newest."""

    async def settings_confirmed(self, patience_s: float) -> bool:
        """Return whether that table is the newest one, waiting some time for that."""

    @property
    def runner(self) -> RequestRunner:
        """Carries requests."""

    @property
    def fingerprinter(self) -> Fingerprinter:
        """Tells requests apart that come again."""

    @property
    def held(self) -> BufferBudget:
        """Counts what is held for callers."""

    @property
    def bodies(self) -> IncomingBodies:
        """Callers' bodies that are arriving."""

    @property
    def ingress_limits(self) -> IngressLimits:
        """What the connections of all callers may take."""

    def head_timeout_s(self) -> float:
        """Return the longest time in seconds in which callers send a head."""

    def on_connection_closed(self, reason: str) -> None:
        """Note that a connection of a caller is closed to make room, or as it is too slow."""

    @property
    def readers(self) -> CallerReaders:
        """Callers that have not read their answers yet."""

    @property
    def connections(self) -> CallerConnections:
        """Connections of callers."""

    @property
    def final_answers(self) -> FinalAnswers:
        """Breaks off what is unfinished when a planned stop ends."""

    def on_body_refused(self, request_id: str, size: int) -> None:
        """Note that a body was refused, with its bytes so far or as its sender says."""

    def on_connection_aborted(self, abort: ConnectionAbort) -> None:
        """Note that a connection to a caller is aborted."""

    @property
    def closing(self) -> bool:
        """Whether callers should come back on another connection."""

    def zones_in(self, regions: Set[str]) -> frozenset[str]:
        """Return the availability zones of some regions."""

    def accepts(self, kind: RequestKind, deadline: float) -> bool:
        """Return whether a request may begin here.

        Parameters
        ----------
        kind : RequestKind
            Kind of the request.
        deadline : float
            Monotonic time in seconds by which its final answer is given.
        """

    @property
    def running_requests(self) -> int:
        """Requests in progress."""

    @running_requests.setter
    def running_requests(self, value: int) -> None: ...

    @property
    def log(self) -> Any:
        """Logger of the process."""


class CallerBorder(ABC):
    """Decodes callers' requests and encodes their answers."""

    @abstractmethod
    async def start(self, host: str, port: int, listener: socket.socket | None = None) -> None:
        """Listen.

        Parameters
        ----------
        host, port : str, int
            Where callers come.
        listener : socket.socket, optional
            Listens there already.
        """

    @abstractmethod
    async def stop_listening(self) -> None:
        """Accept no new connections; those that are open go on."""

    @abstractmethod
    async def close(self) -> None:
        """Close every connection."""


CALLER_BORDERS: Registry[Any] = Registry("callers' border")
"""Classes that take a `RelayHost`."""
