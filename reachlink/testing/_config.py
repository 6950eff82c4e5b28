"""Configuration files of the stand-ins."""

import msgspec

from reachlink.testing._batch import EngineParameters


class EngineConfig(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Configuration of one engine."""

    name: str
    host: str = "127.0.0.1"
    port: int
    model: str
    parameters: EngineParameters = msgspec.field(default_factory=EngineParameters)
    report_lag_s: float = 0.5
    report_interval_s: float = 0.25
    event_lag_s: float = 0.3
    event_loss: float = 0.1
    retention_s: float = 60.0
    checks_fencing: bool = True
    weights_url: str = ""
    versions: list[str] = []


class ServiceConfig(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Configuration of one replica of a plain service."""

    name: str
    host: str = "127.0.0.1"
    port: int
    delay_s: float = 0.02


class PlatformInstance(msgspec.Struct, kw_only=True):
    """One upstream instance as the platform lists it."""

    name: str
    upstream: str
    availability_zone: str
    address: str
    state: str = "live"


class PlatformConfig(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Configuration of the platform list."""

    host: str = "127.0.0.1"
    port: int
    lag_s: float = 2.0
    instances: list[PlatformInstance]


class WeightsConfig(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Configuration of the weight store."""

    host: str = "127.0.0.1"
    port: int
    bytes_per_s: float = 200e6
    version_bytes: dict[str, int] = {}
