"""Configuration of an entry daemon that relays requests by a routing table."""

from typing import Annotated

import msgspec

from reachlink.entry._config import PlatformSource
from reachlink.quarantine import CRASH_RETENTION_S, CRASHES_TO_HOLD
from reachlink.scheduling import SchedulingSettings


class RelayConfig(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """What a relaying entry daemon must know before it has a routing table.

    Attributes
    ----------
    name, availability_zone : str
        Who it is and where.
    host, port : str, int
        Where callers reach it.
    readiness_port : int
        Where the platform's balancer asks whether it is ready.
    readiness_path : str
        Path of that question.
    metrics_port : int
        Port of the metrics page; 0 for none.
    bus_address : str
        ``host:port`` for the system's own instances.
    relay_port : int
        Port at the bus address's host where peers that have lost their path to a replica
        claim connections; 0 for any.
    cluster_secret : str
        Shared secret; empty on a network that keeps everyone else out.
    seeds : list of str
        Bus addresses where control instances may be found.
    border : str
        Callers' interface, one of `CALLER_BORDERS`.
    upstream : str
        Protocol towards replicas, one of `RELAY_ADAPTERS`.
    platform : PlatformSource
        The platform's list of replicas.
    leaving_mark_s : float
        How long a sign of leaving counts that the list does not confirm, in seconds.
    watch_wait_s : float
        How long a control instance may hold the question for news, in seconds.
    balancer_delay_s : float
        How long the balancer may still send callers after a planned stop began.
    last_requests_s : float
        How long after a planned stop began short requests are still taken, in
        seconds, where its end is not known; streams are refused at once.
    stop_grace_s : float
        Time after which the process is ended once a planned stop began, in seconds; 0 if that
        is not known. Requests whose deadline lies beyond that are refused during the stop.
    retry_share : float
        Requests that may be sent again, as a share of first attempts.
    retry_burst : float
        Requests that all entry instances together may send again beyond that at
        one time.
    connect_timeout_s : float
        Longest time to make a connection to a replica, in seconds.
    crashes_to_hold : float
        Crashes of replicas under one request, or one part of prompts, from which on it
        is sent to none, where nothing else explains them; one late in its answer counts half.
    crashes_kept_s : float
        How long a crash counts, in seconds.
    zone_regions : dict of str to str
        The availability zones of the deployment, each with its region.
    scheduling : SchedulingSettings
        Which parts of scheduling it asks for.
    memory_mb : float
        Memory that the process may take, in MB; 0 for that of the machine.
    max_descriptors : int
        Descriptors that the process may open; 0 for the limit that the machine sets.
    """

    name: str
    availability_zone: str
    host: str
    port: int
    readiness_port: int
    readiness_path: str = "/readyz"
    metrics_port: int = 0
    bus_address: str
    relay_port: int = 0
    cluster_secret: str = ""
    seeds: list[str]
    border: str
    upstream: str
    platform: PlatformSource
    leaving_mark_s: float = 2.0
    watch_wait_s: float = 0.7
    balancer_delay_s: float = 3.2
    last_requests_s: float = 4.0
    stop_grace_s: float = 0.0
    retry_share: float = 0.1
    retry_burst: float = 20.0
    connect_timeout_s: float = 0.25
    crashes_to_hold: float = CRASHES_TO_HOLD
    crashes_kept_s: float = CRASH_RETENTION_S
    zone_regions: dict[str, str] = {}
    scheduling: SchedulingSettings = SchedulingSettings()
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0
