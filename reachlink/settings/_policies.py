"""Resolved settings in the form that decisions use."""

from dataclasses import dataclass
from enum import Enum


class ServiceKind(Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(slots=True, frozen=True)
class ServicePolicy:
    """Values in force for one service, workspace and site.

    Times in seconds unless the name says otherwise; limits of 0 mean none.
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
    """What a service is, apart from its policy."""

    name: str
    kind: ServiceKind
    adapter: str
    upstream: str
    model: str
    versions: tuple[str, ...]
    path: str
    checks_fencing: bool
    min_replicas: int
