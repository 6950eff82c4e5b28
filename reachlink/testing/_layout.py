"""Which processes a fleet has, on which ports, and their configuration files."""

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from reachlink.agreement import Member
from reachlink.control import ControlConfig, founding_id
from reachlink.entry import EntryConfig, PeerConfig, PlatformSource
from reachlink.settings import hash_key, new_key
from reachlink.testing._config import (
    EngineConfig,
    PlatformConfig,
    PlatformInstance,
    ServiceConfig,
    WeightsConfig,
)
from reachlink.testing._ports import free_ports
from reachlink.testing._scenario import Scenario
from reachlink.testing.proxy import LinkConfig, ProxyConfig

HOST = "127.0.0.1"
WEIGHT_BYTES = 40_000_000


@dataclass(slots=True)
class ProcessPlan:
    """One process of the fleet."""

    name: str
    role: str
    availability_zone: str
    module: str
    port: int
    config: msgspec.Struct
    upstream: str = ""
    bus_port: int = 0
    arguments: list[str] = field(default_factory=list)

    @property
    def address(self) -> str:
        """Where it listens for HTTP."""
        return f"{HOST}:{self.port}"


class Layout:
    """Plan of all processes.

    Parameters
    ----------
    scenario : Scenario
        Sizes and delays.
    folder : pathlib.Path
        Where data folders go.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self._scenario = scenario
        self._folder = folder
        self._ports = iter(free_ports(_ports_needed(scenario)))
        self.secret = new_key("cluster")
        self.operator_key = new_key("op")
        self.workspace_keys = {w.name: new_key("ws") for w in scenario.workspaces}
        self.proxy_port = next(self._ports)
        self._links: list[LinkConfig] = []
        self._routes: dict[str, dict[str, str]] = {z: {} for z in scenario.availability_zones}
        self._control_ports = [(next(self._ports), next(self._ports)) for _ in self._controls()]
        self._entry_ports = [(next(self._ports), next(self._ports)) for _ in self._entries()]
        self.weights = self._plan_weights()
        self.upstreams = [*self._plan_engines(), *self._plan_services()]
        self.platform = self._plan_platform()
        self._link_buses()
        self.controls = self._plan_controls()
        self.entries = self._plan_entries()
        self.proxy = self._plan_proxy()

    @property
    def processes(self) -> list[ProcessPlan]:
        """Every process, in the order of their start."""
        return [
            self.proxy,
            self.weights,
            self.platform,
            *self.upstreams,
            *self.controls,
            *self.entries,
        ]

    def members(self) -> list[Member]:
        """Return the founding members of the replicated log."""
        return [
            Member(founding_id(name), f"{HOST}:{bus}", zone, True)
            for (name, zone), (_, bus) in zip(self._controls(), self._control_ports, strict=True)
        ]

    def settings(self) -> dict[str, object]:
        """Return the first settings, by path."""
        s = self._scenario
        values: dict[str, object] = {
            "operators.demo.key_hash": hash_key(self.operator_key),
            "operators.demo.role": "operator",
            f"services.{s.model_service}.kind": "model",
            f"services.{s.model_service}.model": s.model_service,
        }
        if s.plain_replicas:
            values[f"services.{s.plain_service}.kind"] = "plain"
            values[f"services.{s.plain_service}.path"] = f"/{s.plain_service}"
            values[f"services.{s.plain_service}.repeatable"] = False
        for zone in s.availability_zones:
            values[f"sites.{zone}.region"] = s.region
        for name, key in self.workspace_keys.items():
            values[f"workspaces.{name}.key_hashes"] = [hash_key(key)]
        values.update(s.settings)
        return values

    def _zone(self, number: int) -> str:
        zones = self._scenario.availability_zones
        return zones[number % len(zones)]

    def _entries(self) -> list[tuple[str, str]]:
        return [(f"entry-{i + 1}", self._zone(i)) for i in range(self._scenario.entries)]

    def _controls(self) -> list[tuple[str, str]]:
        return [(f"control-{i + 1}", self._zone(i)) for i in range(self._scenario.controls)]

    def _link(self, process: str, zone: str, port: int) -> None:
        """Put a proxy link in front of a port, for each zone that reaches it."""
        for source in self._scenario.availability_zones:
            link_port = next(self._ports)
            delay = 0.0 if source == zone else self._scenario.zone_delay_ms
            self._links.append(
                LinkConfig(
                    source_zone=source,
                    target_zone=zone,
                    process=process,
                    port=link_port,
                    target_host=HOST,
                    target_port=port,
                    delay_ms=delay,
                )
            )
            self._routes[source][f"{HOST}:{port}"] = f"{HOST}:{link_port}"

    def _link_buses(self) -> None:
        for (name, zone), (_, bus) in zip(self._entries(), self._entry_ports, strict=True):
            self._link(name, zone, bus)
        for (name, zone), (_, bus) in zip(self._controls(), self._control_ports, strict=True):
            self._link(name, zone, bus)

    def _plan_weights(self) -> ProcessPlan:
        port = next(self._ports)
        s = self._scenario
        sizes = {f"{s.model_service}-v{i}": WEIGHT_BYTES for i in range(1, 4)}
        config = WeightsConfig(port=port, bytes_per_s=s.weights_bytes_per_s, version_bytes=sizes)
        zone = s.availability_zones[0]
        return ProcessPlan(
            "weights", "weights", zone, "platform", port, config, arguments=["--weights"]
        )

    def _plan_engines(self) -> list[ProcessPlan]:
        plans: list[ProcessPlan] = []
        s = self._scenario
        for i in range(s.model_replicas):
            port = next(self._ports)
            name = f"{s.model_service}-{i + 1}"
            config = EngineConfig(
                name=name,
                port=port,
                model=s.model_service,
                parameters=msgspec.structs.replace(s.engine, seed=s.engine.seed + i),
                report_lag_s=s.report_lag_s,
                weights_url=f"http://{self.weights.address}",
            )
            zone = self._zone(i)
            plans.append(
                ProcessPlan(name, "upstream", zone, "engine", port, config, s.model_service)
            )
            if s.proxied_upstreams:
                self._link(name, zone, port)
        return plans

    def _plan_services(self) -> list[ProcessPlan]:
        plans: list[ProcessPlan] = []
        s = self._scenario
        for i in range(s.plain_replicas):
            port = next(self._ports)
            name = f"{s.plain_service}-{i + 1}"
            config = ServiceConfig(name=name, port=port)
            zone = self._zone(i)
            plans.append(
                ProcessPlan(name, "upstream", zone, "service", port, config, s.plain_service)
            )
            if s.proxied_upstreams:
                self._link(name, zone, port)
        return plans

    def _plan_platform(self) -> ProcessPlan:
        port = next(self._ports)
        instances = [
            PlatformInstance(
                name=plan.name,
                upstream=plan.upstream,
                availability_zone=plan.availability_zone,
                address=plan.address,
            )
            for plan in self.upstreams
        ]
        config = PlatformConfig(port=port, lag_s=self._scenario.platform_lag_s, instances=instances)
        zone = self._scenario.availability_zones[0]
        # Not behind a cut: the platform is reached from every zone.
        return ProcessPlan("platform", "platform", zone, "platform", port, config)

    def _plan_controls(self) -> list[ProcessPlan]:
        plans: list[ProcessPlan] = []
        for (name, zone), (port, bus) in zip(self._controls(), self._control_ports, strict=True):
            config = ControlConfig(
                name=name,
                availability_zone=zone,
                port=port,
                bus_address=f"{HOST}:{bus}",
                cluster_secret=self.secret,
                data_folder=str(self._folder / "data" / name),
                routes=self._routes[zone],
                bootstrap_key_hash=hash_key(self.operator_key),
                memory_mb=self._scenario.memory_mb,
                max_descriptors=self._scenario.max_descriptors,
            )
            plans.append(ProcessPlan(name, "control", zone, "control", port, config, bus_port=bus))
        return plans

    def _plan_entries(self) -> list[ProcessPlan]:
        s = self._scenario
        peers = [
            PeerConfig(name=name, address=f"{HOST}:{bus}", availability_zone=zone)
            for (name, zone), (_, bus) in zip(self._entries(), self._entry_ports, strict=True)
        ]
        plans: list[ProcessPlan] = []
        for (name, zone), (port, bus) in zip(self._entries(), self._entry_ports, strict=True):
            near_first = sorted(self.controls, key=lambda c: c.availability_zone != zone)
            config = EntryConfig(
                name=name,
                availability_zone=zone,
                port=port,
                bus_address=f"{HOST}:{bus}",
                cluster_secret=self.secret,
                controls=[f"{HOST}:{c.bus_port}" for c in near_first],
                peers=[p for p in peers if p.name != name],
                platform=PlatformSource(url=f"http://{self.platform.address}/v1/instances"),
                routes=self._routes[zone],
                bootstrap_key_hash=hash_key(self.operator_key),
                policy=s.policy,
                balancer_delay_s=s.balancer_delay_s,
                digest_interval_s=s.digest_interval_s,
                report_interval_s=s.report_interval_s,
                held_bytes=s.held_bytes,
                memory_mb=s.memory_mb,
                max_descriptors=s.max_descriptors,
            )
            plans.append(ProcessPlan(name, "entry", zone, "entry", port, config, bus_port=bus))
        return plans

    def _plan_proxy(self) -> ProcessPlan:
        config = ProxyConfig(port=self.proxy_port, links=self._links)
        zone = self._scenario.availability_zones[0]
        return ProcessPlan("proxy", "proxy", zone, "proxy", self.proxy_port, config)


def _ports_needed(scenario: Scenario) -> int:
    zones = len(scenario.availability_zones)
    own = 2 * (scenario.entries + scenario.controls)
    upstreams = scenario.model_replicas + scenario.plain_replicas
    linked = scenario.entries + scenario.controls + upstreams
    return own + upstreams + 3 + zones * linked
