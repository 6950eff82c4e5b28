"""Resolved settings, as used when requests are handled."""

from dataclasses import dataclass
from enum import Enum


class ServiceKind(Enum):
    """Kind of a service: served by model engines, or plain."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(slots=True, frozen=True)
class ServicePolicy:
    """Effective values of the inherited settings for one service, workspace and site.

    Attributes
    ----------
    repeatable : bool
        Whether requests may run more than once.
    priority : int
        Priority from 0 to 9; 9 is served first.
    weight : float
        Share among workspaces of equal priority.
    concurrent : int
        Largest number of requests in progress; 0 for no limit.
    requests_per_s : float
        Largest rate of requests; 0 for no limit.
    tokens_per_s : float
        Largest rate of output tokens; 0 for no limit.
    queue_length : int
        Largest number of requests that wait in an instance.
    queue_wait_s : float
        Longest wait before a request is refused, in seconds.
    prompt_tokens : int
        Longest prompt, in tokens.
    body_bytes : int
        Largest request body, in bytes.
    retry_share : float
        Retries allowed as a share of first attempts.
    first_token_s : float
        Promised time to the first token, in seconds.
    gap_ms : float
        Promised gap between tokens, in milliseconds.
    spill : bool
        Whether replicas in other availability zones may serve requests.
    link_cost_ms : float
        Cost of using another availability zone, in milliseconds.
    keep_s : float
        Time for which claims are kept, in seconds.
    grace_s : float
        Time that a caller has to reconnect before its generation is cancelled,
        in seconds.
    """

    repeatable: bool
    priority: int
    weight: float
    concurrent: int
    requests_per_s: float
    tokens_per_s: float
    queue_length: int
    queue_wait_s: float
    prompt_tokens: int
    body_bytes: int
    retry_share: float
    first_token_s: float
    gap_ms: float
    spill: bool
    link_cost_ms: float
    keep_s: float
    grace_s: float


@dataclass(slots=True, frozen=True)
class ServiceInfo:
    """Settings that identify a service and are not inherited.

    Attributes
    ----------
    name : str
        Name of the service.
    kind : ServiceKind
        Whether model engines serve it, or it is a plain service.
    adapter : str
        Upstream adapter.
    upstream : str
        Name of the upstream in the platform list.
    model : str
        Model name that callers use.
    versions : tuple of str
        Model versions that the upstream must serve.
    path : str
        Path prefix under which callers reach a plain service.
    checks_fencing : bool
        Whether its engines check fencing tokens.
    min_replicas : int
        Fewest replicas that keep serving while others reload.
    """

    name: str
    kind: ServiceKind
    adapter: str
    upstream: str
    model: str
    versions: tuple[str, ...]
    path: str
    checks_fencing: bool
    min_replicas: int
