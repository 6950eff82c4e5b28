"""Configuration file of an entry daemon."""

from typing import Annotated

import msgspec

from reachlink.ingress import buffer_bytes
from reachlink.quarantine import CRASH_RETENTION_S, CRASHES_TO_HOLD


class PeerConfig(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Another entry instance."""

    name: str
    address: str
    availability_zone: str


class PlatformSource(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Where the platform's list is.

    Attributes
    ----------
    adapter : str
        How it is read, one of `PLATFORMS`.
    url : str
        Where it is.
    interval_s : float
        Shortest time between two readings by one instance, in seconds.
    shared_interval_s : float
        Time between two readings by any of the instances that tell each other
        what they find, in seconds.
    """

    adapter: str = "http-json"
    url: str
    interval_s: float = 1.0
    shared_interval_s: float = 0.12


class EntryConfig(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """What an entry daemon must know before it has any settings.

    Addresses are ``host:port``. ``routes`` maps addresses to those to use in
    their place. ``bootstrap_key_hash`` is the SHA-256 of a key that acts as an
    operator until the settings name one. ``crashes_to_hold`` and ``crashes_kept_s``
    are as in `RelayConfig`. ``held_bytes`` is the most that is held of callers' bodies
    at one time, in bytes; 0 for any number, None for a share of ``memory_mb``. ``relay_port``,
    ``memory_mb`` and ``max_descriptors`` are as in `RelayConfig`.
    ``stop_grace_s`` is the time after which the process is ended once a planned stop began,
    in seconds; 0 if that is not known, otherwise more than ``balancer_delay_s``.
    """

    name: str
    availability_zone: str
    host: str = "127.0.0.1"
    port: int
    bus_address: str
    relay_port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    cluster_secret: str
    controls: list[str]
    peers: list[PeerConfig] = []
    platform: PlatformSource
    routes: dict[str, str] = {}
    bootstrap_key_hash: str = ""
    policy: str = "forecast"
    balancer_delay_s: float = 2.0
    stop_grace_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    digest_interval_s: float = 1.0
    report_interval_s: float = 0.5
    watch_wait_s: float = 2.0
    cache_interval_s: float = 2.0
    explain_sample: float = 0.01
    crashes_to_hold: float = CRASHES_TO_HOLD
    crashes_kept_s: float = CRASH_RETENTION_S
    held_bytes: Annotated[int, msgspec.Meta(ge=0)] | None = None
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0
    otlp_endpoint: str = ""

    @property
    def buffered_bytes(self) -> int:
        """Most that is held of callers' bodies at one time, in bytes; 0 for any number."""
        return buffer_bytes(self.memory_mb) if self.held_bytes is None else self.held_bytes

    def __post_init__(self) -> None:
        if 0.0 < self.stop_grace_s <= self.balancer_delay_s:
            raise ValueError("stop_grace_s must be 0 or more than balancer_delay_s")
