"""Configuration file of a control daemon."""

from pathlib import Path
from typing import Annotated

import msgspec

from reachlink.membership import CoordinationLimits


class ControlConfig(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """What a control daemon must know.

    Addresses are ``host:port``. ``routes`` maps addresses to those to use in
    their place. ``bootstrap_key_hash`` is the SHA-256 of a key that acts as an
    operator until the settings name one.

    With ``seeds``, bus addresses where control instances may be found, the
    instances look after their membership themselves, with ``voters`` voters;
    on the ``first_start`` of the whole system the seeds are the founders.
    ``borders`` are more operators' interfaces to serve, by their names, and
    ``metrics_port`` is a port for the metrics page alone; 0 for none. Up to
    ``coordinators_up_to`` entry instances all coordinate placement, beyond that
    ``coordinators_per_zone`` of each zone do. ``zones`` are the availability zones of
    the deployment, so that an order about any other is refused; empty for any.
    ``memory_mb`` and ``max_descriptors`` are what the process may take, in MB and in number;
    0 for what the machine has.
    """

    name: str
    availability_zone: str
    host: str = "127.0.0.1"
    port: int
    bus_address: str
    cluster_secret: str
    data_folder: str
    routes: dict[str, str] = {}
    bootstrap_key_hash: str = ""
    seeds: list[str] = []
    voters: int = 3
    first_start: bool = False
    borders: list[str] = []
    zones: list[str] = []
    metrics_port: int = 0
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    max_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0
    coordinators_up_to: Annotated[int, msgspec.Meta(ge=0)] = CoordinationLimits().all_up_to
    coordinators_per_zone: Annotated[int, msgspec.Meta(ge=1)] = CoordinationLimits().per_zone

    @property
    def coordination(self) -> CoordinationLimits:
        """How many entry instances coordinate placement."""
        return CoordinationLimits(self.coordinators_up_to, self.coordinators_per_zone)

    @property
    def folder(self) -> Path:
        """The data folder."""
        return Path(self.data_folder)
