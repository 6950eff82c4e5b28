"""Description of a local fleet."""

import msgspec

from reachlink.testing._batch import EngineParameters


class WorkspaceScenario(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One workspace; `size` is its share of the load that demonstrations send."""

    name: str
    size: float = 1.0


class Scenario(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Sizes and delays of a fleet; delays one way in milliseconds."""

    name: str
    availability_zones: list[str]
    region: str = "region"
    entries: int = 7
    controls: int = 3
    model_service: str = "explain"
    model_replicas: int = 5
    plain_service: str = "readings"
    plain_replicas: int = 3
    workspaces: list[WorkspaceScenario] = msgspec.field(
        default_factory=lambda: [WorkspaceScenario(name="demo")]
    )
    zone_delay_ms: float = 1.5
    client_delay_ms: float = 1.0
    platform_lag_s: float = 2.0
    balancer_delay_s: float = 1.0
    held_bytes: int | None = None  # of callers' bodies, at an entry instance; None for a share
    memory_mb: float = 0.0  # that each daemon may take; 0 for that of the machine
    max_descriptors: int = 0  # that each daemon may open; 0 for the limit of the machine
    engine: EngineParameters = msgspec.field(default_factory=EngineParameters)
    policy: str = "forecast"
    weights_bytes_per_s: float = 200e6
    proxied_upstreams: bool = True
    digest_interval_s: float = 1.0
    report_interval_s: float = 0.5
    report_lag_s: float = 0.5
    settings: dict[str, object] = {}
